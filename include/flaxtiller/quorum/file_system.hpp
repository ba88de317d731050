#pragma once

#include <concepts>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace flaxtiller::quorum
{

/// @brief What @ref log_store needs of a file system; tests put one in its place that fails on demand.
template <typename FileSystem>
concept file_system = requires(FileSystem& files, typename FileSystem::file& file, const std::string& text,
                               std::string& into, std::error_code& failed)
{
    // clang-format off
    /// Names of the files in a folder.
    { files.list(text, failed) } -> std::same_as<std::vector<std::string>>;
    /// Makes an empty file, or opens one for appending.
    { files.open(text, failed) } -> std::same_as<typename FileSystem::file>;
    { files.read(text, into) } -> std::same_as<std::error_code>;
    { files.rename(text, text) } -> std::same_as<std::error_code>;
    { files.remove(text) } -> std::same_as<std::error_code>;
    { files.sync_folder(text) } -> std::same_as<std::error_code>;
    { file.write(text) } -> std::same_as<std::error_code>;
    { file.sync() } -> std::same_as<std::error_code>;
    // clang-format on
};

} // namespace flaxtiller::quorum
