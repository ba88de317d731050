#include <flaxtiller/quorum/posix_file_system.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

namespace flaxtiller::quorum
{

namespace
{

std::error_code last_error() noexcept
{
    return {errno, std::generic_category()};
}

} // namespace

posix_file_system::file::file(int descriptor) noexcept : m_descriptor(descriptor)
{
}

posix_file_system::file::~file()
{
    if (m_descriptor >= 0)
    {
        ::close(m_descriptor);
    }
}

posix_file_system::file::file(file&& other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

posix_file_system::file& posix_file_system::file::operator=(file&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

std::error_code posix_file_system::file::write(const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        const ssize_t count = ::write(m_descriptor, bytes.data() + done, bytes.size() - done);
        if (count < 0 && errno != EINTR)
        {
            return last_error();
        }
        done += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
    return {};
}

std::error_code posix_file_system::file::sync()
{
    return ::fdatasync(m_descriptor) == 0 ? std::error_code{} : last_error();
}

std::vector<std::string> posix_file_system::list(const std::string& folder, std::error_code& error)
{
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error))
    {
        names.push_back(entry.path().filename().string());
    }
    std::sort(names.begin(), names.end());
    return names;
}

posix_file_system::file posix_file_system::open(const std::string& path, std::error_code& error)
{
    constexpr int owner_only = 0600;
    const int descriptor = ::open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, owner_only);
    error = descriptor < 0 ? last_error() : std::error_code{};
    return file(descriptor);
}

std::error_code posix_file_system::read(const std::string& path, std::string& contents)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
    {
        return std::make_error_code(std::errc::no_such_file_or_directory);
    }
    contents.assign(std::istreambuf_iterator<char>(stream), {});
    return stream.bad() ? std::make_error_code(std::errc::io_error) : std::error_code{};
}

std::error_code posix_file_system::rename(const std::string& from, const std::string& to)
{
    return std::rename(from.c_str(), to.c_str()) == 0 ? std::error_code{} : last_error();
}

std::error_code posix_file_system::remove(const std::string& path)
{
    return ::unlink(path.c_str()) == 0 ? std::error_code{} : last_error();
}

std::error_code posix_file_system::sync_folder(const std::string& folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
    {
        return last_error();
    }
    const std::error_code error = ::fsync(descriptor) == 0 ? std::error_code{} : last_error();
    ::close(descriptor);
    return error;
}

} // namespace flaxtiller::quorum
