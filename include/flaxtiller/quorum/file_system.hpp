#pragma once

#include <concepts>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace flaxtiller::quorum
{

/// @brief The file system operations that @ref log_store uses. @ref posix_file_system implements the concept;
/// tests use an implementation that fails on demand. Every operation reports its error as a
/// `std::error_code`.
template <typename FileSystem>
concept file_system = requires(FileSystem& files, typename FileSystem::file& file, const std::string& text,
                               std::string& contents, std::error_code& error)
{
    // clang-format off
    /// Returns the names of the files in a folder.
    { files.list(text, error) } -> std::same_as<std::vector<std::string>>;
    /// Opens a file for appending and creates it if it does not exist.
    { files.open(text, error) } -> std::same_as<typename FileSystem::file>;
    { files.read(text, contents) } -> std::same_as<std::error_code>;
    { files.rename(text, text) } -> std::same_as<std::error_code>;
    { files.remove(text) } -> std::same_as<std::error_code>;
    { files.sync_folder(text) } -> std::same_as<std::error_code>;
    { file.write(text) } -> std::same_as<std::error_code>;
    { file.sync() } -> std::same_as<std::error_code>;
    // clang-format on
};

} // namespace flaxtiller::quorum
