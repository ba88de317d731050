#pragma once

#include <flaxtiller/quorum/file_system.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace flaxtiller::test
{

/// Files in memory that fail on demand, and forget what wasn't synced when the machine "stops".
class faulty_file_system
{
  public:
    struct content
    {
        std::string bytes;
        std::size_t synced = 0;
    };

    struct file
    {
        faulty_file_system* owner = nullptr;
        std::shared_ptr<content> held;

        std::error_code write(const std::string& bytes)
        {
            if (owner->fail_writes)
            {
                // A full disk takes a part of what is written.
                held->bytes += bytes.substr(0, bytes.size() / 2);
                return std::make_error_code(std::errc::no_space_on_device);
            }
            held->bytes += bytes;
            return {};
        }

        std::error_code sync()
        {
            if (owner->fail_syncs)
            {
                return std::make_error_code(std::errc::io_error);
            }
            held->synced = held->bytes.size();
            ++owner->syncs;
            return {};
        }
    };

    std::vector<std::string> list(const std::string& folder, std::error_code& failed)
    {
        failed = fail_reads ? std::make_error_code(std::errc::io_error) : std::error_code{};
        std::vector<std::string> names;
        for (const auto& [path, held] : files)
        {
            if (path.rfind(folder + "/", 0) == 0)
            {
                names.push_back(path.substr(folder.size() + 1));
            }
        }
        return names;
    }

    file open(const std::string& path, std::error_code& failed)
    {
        failed = fail_writes ? std::make_error_code(std::errc::no_space_on_device) : std::error_code{};
        auto& held = files[path];
        if (!held)
        {
            held = std::make_shared<content>();
        }
        return {this, held};
    }

    std::error_code read(const std::string& path, std::string& into)
    {
        const auto found = files.find(path);
        if (found == files.end() || fail_reads)
        {
            return std::make_error_code(std::errc::io_error);
        }
        into = found->second->bytes;
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

    /// The machine stops: of the last write, @a kept bytes beyond the synced ones made it to the disk.
    void stop_machine(std::size_t kept = 0)
    {
        for (auto& [path, held] : files)
        {
            held->bytes.resize(std::min(held->bytes.size(), held->synced + kept));
        }
    }

    /// The newest log file's bytes.
    std::string& newest_bytes()
    {
        return files.rbegin()->second->bytes;
    }

    std::map<std::string, std::shared_ptr<content>> files;
    bool fail_writes = false;
    bool fail_syncs = false;
    bool fail_reads = false;
    std::size_t syncs = 0;
};

static_assert(quorum::file_system<faulty_file_system>);

} // namespace flaxtiller::test
