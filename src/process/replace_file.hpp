#pragma once

#include <flaxtiller/quorum/posix_file_system.hpp>

#include <string>
#include <system_error>

namespace flaxtiller::shell
{

/// @brief Puts a file with these bytes in place of another one, or of none. After a loss of power either the
/// earlier or the new one is there, whole.
std::error_code replace_file(quorum::posix_file_system& files, const std::string& path,
                             const std::string& bytes);

} // namespace flaxtiller::shell
