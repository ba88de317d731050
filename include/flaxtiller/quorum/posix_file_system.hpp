#pragma once

#include <flaxtiller/quorum/file_system.hpp>

#include <cstdint>

namespace flaxtiller::quorum
{

/// @brief The @ref file_system of the operating system.
class posix_file_system
{
  public:
    /// @brief A file open for appending; closed by the destructor.
    class file
    {
      public:
        file() noexcept = default;
        explicit file(int descriptor) noexcept;
        ~file();
        file(file&& other) noexcept;
        file& operator=(file&& other) noexcept;

        /// @brief Appends all of @a bytes.
        std::error_code write(const std::string& bytes);

        /// @brief Returns once all written bytes are on disk.
        std::error_code sync();

      private:
        int m_descriptor = -1;
    };

    std::vector<std::string> list(const std::string& folder, std::error_code& error);
    file open(const std::string& path, std::error_code& error);
    std::error_code read(const std::string& path, std::string& contents);
    std::error_code rename(const std::string& from, const std::string& to);
    std::error_code remove(const std::string& path);
    std::error_code sync_folder(const std::string& folder);
};

static_assert(file_system<posix_file_system>);

} // namespace flaxtiller::quorum
