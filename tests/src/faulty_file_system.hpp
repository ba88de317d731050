#pragma once

#include <flaxtiller/quorum/file_system.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace flaxtiller::test
{

/// @brief A file system in memory that fails on demand and simulates a loss of power, in which unsynced bytes
/// are lost.
class faulty_file_system
{
  public:
    struct file_content
    {
        std::string bytes;
        std::size_t synced = 0;
    };

    struct file
    {
        faulty_file_system* owner = nullptr;
        std::shared_ptr<file_content> data;

        std::error_code write(const std::string& bytes)
        {
            if (owner->fail_writes)
            {
                // A full disk accepts a part of the bytes.
                data->bytes += bytes.substr(0, bytes.size() / 2);
                return std::make_error_code(std::errc::no_space_on_device);
            }
            data->bytes += bytes;
            return {};
        }

        std::error_code sync()
        {
            if (owner->fail_syncs)
            {
                return std::make_error_code(std::errc::io_error);
            }
            data->synced = data->bytes.size();
            ++owner->syncs;
            return {};
        }
    };

    std::vector<std::string> list(const std::string& folder, std::error_code& error)
    {
        error = fail_reads ? std::make_error_code(std::errc::io_error) : std::error_code{};
        std::vector<std::string> names;
        for (const auto& [path, data] : files)
        {
            if (path.rfind(folder + "/", 0) == 0)
            {
                names.push_back(path.substr(folder.size() + 1));
            }
        }
        return names;
    }

    file open(const std::string& path, std::error_code& error)
    {
        error = fail_writes ? std::make_error_code(std::errc::no_space_on_device) : std::error_code{};
        auto& data = files[path];
        if (!data)
        {
            data = std::make_shared<file_content>();
        }
        return {this, data};
    }

    std::error_code read(const std::string& path, std::string& contents)
    {
        const auto found = files.find(path);
        if (found == files.end() || fail_reads)
        {
            return std::make_error_code(std::errc::io_error);
        }
        contents = found->second->bytes;
        return {};
    }

    std::error_code rename(const std::string& from, const std::string& to)
    {
        files[to] = files.at(from);
        files.erase(from);
        return {};
    }

    std::error_code remove(const std::string& path)
    {
        return files.erase(path) > 0 ? std::error_code{}
                                     : std::make_error_code(std::errc::no_such_file_or_directory);
    }

    std::error_code sync_folder(const std::string&)
    {
        return {};
    }

    /// @brief Simulates a loss of power.
    /// @param kept_bytes the number of unsynced bytes per file that remain
    void lose_power(std::size_t kept_bytes = 0)
    {
        for (auto& [path, data] : files)
        {
            data->bytes.resize(std::min(data->bytes.size(), data->synced + kept_bytes));
        }
    }

    /// @return the bytes of the newest log file
    std::string& newest_bytes()
    {
        return files.rbegin()->second->bytes;
    }

    std::map<std::string, std::shared_ptr<file_content>> files;
    bool fail_writes = false;
    bool fail_syncs = false;
    bool fail_reads = false;
    std::size_t syncs = 0;
};

static_assert(quorum::file_system<faulty_file_system>);

} // namespace flaxtiller::test
