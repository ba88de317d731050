#pragma once

#include <flaxtiller/core/error.hpp>
#include <flaxtiller/quorum/file_system.hpp>
#include <flaxtiller/quorum/message_codec.hpp>
#include <flaxtiller/quorum/output.hpp>
#include <flaxtiller/quorum/persisted_state.hpp>
#include <flaxtiller/quorum/record_codec.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>

namespace flaxtiller::quorum
{

/// @brief The replica that a data folder belongs to.
struct store_identity
{
    replica_name name;
    incarnation_id incarnation = 0;

    bool operator==(const store_identity&) const = default;
};

/// @brief Persistent storage of one replicated log, in files `log-<number>` of a folder.
///
/// One file holds the identity, the snapshot, the hard state and the entries. Compaction writes the next
/// file, syncs and renames it, and then removes the old file. After a failed write or sync the store is
/// unusable and must be opened again. Opening writes a new file, because after a failed sync the page cache
/// may hold data of the old file that is not on disk.
template <file_system FileSystem>
class log_store
{
  public:
    /// @param files the file system
    /// @param folder an existing folder
    log_store(FileSystem& files, std::string folder) : m_files(files), m_folder(std::move(folder))
    {
    }

    /// @brief Reads the newest log file of the folder. An empty folder is initialized for this replica.
    /// @param name the replica's name
    /// @param fresh_incarnation the incarnation to use if the folder is empty
    /// @param warning set to a message if an incomplete record at the end of the file was discarded
    /// @return @ref errc::storage_corrupt, @ref errc::storage_foreign, @ref errc::storage_failed, or no error
    std::error_code open(const replica_name& name, incarnation_id fresh_incarnation, std::string& warning)
    {
        std::error_code error;
        const auto names = m_files.list(m_folder, error);
        if (error)
        {
            return errc::storage_failed;
        }
        std::optional<std::uint64_t> newest;
        for (const std::string& file : names)
        {
            const auto number = number_of(file);
            newest = std::max(newest, number);
        }
        if (!newest)
        {
            m_identity = {name, fresh_incarnation};
            m_state = {};
            return write_new_file(m_state.base);
        }
        m_number = *newest;
        error = load(warning);
        if (error)
        {
            return error;
        }
        if (m_identity.name != name)
        {
            return errc::storage_foreign;
        }
        return write_new_file(m_state.base);
    }

    /// @return the stored state: read by @ref open, updated by @ref write and @ref compact
    const persisted_state& state() const noexcept
    {
        return m_state;
    }

    /// @return the replica that the folder belongs to
    const store_identity& identity() const noexcept
    {
        return m_identity;
    }

    /// @brief Writes and syncs all @a changes, in one write and one sync.
    /// @return @ref errc::storage_failed if the changes may not be on disk; the store must then be opened
    /// again
    std::error_code write(const output& changes)
    {
        if (changes.install)
        {
            update_state(changes);
            return write_new_file(*changes.install);
        }
        std::string records;
        if (changes.hard)
        {
            append_record(records, record_kind::hard, to_bytes(*changes.hard));
        }
        if (changes.truncate_from)
        {
            append_record(records, record_kind::truncate, std::to_string(*changes.truncate_from));
        }
        for (const log_entry& entry : changes.append)
        {
            append_record(records, record_kind::entry, to_bytes(entry));
        }
        update_state(changes);
        if (m_file.write(records) || m_file.sync())
        {
            return errc::storage_failed;
        }
        m_bytes += records.size();
        return {};
    }

    /// @brief Replaces the entries up to the index of @a base by the snapshot @a base.
    std::error_code compact(const snapshot& base)
    {
        auto& entries = m_state.entries;
        const auto kept = std::find_if(entries.begin(), entries.end(),
                                       [&](const log_entry& e)
                                       {
                                           return e.index > base.last_index;
                                       });
        entries.erase(entries.begin(), kept);
        return write_new_file(base);
    }

    /// @return the size of the current file in bytes
    std::uint64_t bytes() const noexcept
    {
        return m_bytes;
    }

  private:
    static constexpr const char* prefix = "log-";

    static std::optional<std::uint64_t> number_of(const std::string& file)
    {
        const std::string start = prefix;
        if (file.rfind(start, 0) != 0 ||
            file.find_first_not_of("0123456789", start.size()) != std::string::npos)
        {
            return std::nullopt;
        }
        return std::stoull(file.substr(start.size()));
    }

    std::string path_of(std::uint64_t number) const
    {
        char digits[24];
        std::snprintf(digits, sizeof digits, "%012llu", static_cast<unsigned long long>(number));
        return m_folder + "/" + prefix + digits;
    }

    std::error_code load(std::string& warning)
    {
        std::string file;
        if (m_files.read(path_of(m_number), file))
        {
            return errc::storage_failed;
        }
        std::size_t offset = 0;
        bool identified = false;
        while (true)
        {
            const record next = read_record(file, offset);
            if (next.state == record_state::end)
            {
                break;
            }
            if (next.state == record_state::torn)
            {
                warning = "cut off an incomplete record at byte " + std::to_string(offset);
                break;
            }
            if (next.state == record_state::corrupt || !apply_record(next))
            {
                return errc::storage_corrupt;
            }
            identified = identified || next.kind == record_kind::identity;
            offset += next.size;
        }
        return identified ? std::error_code{} : make_error_code(errc::storage_corrupt);
    }

    bool apply_record(const record& next)
    {
        const std::string payload(next.payload);
        try
        {
            switch (next.kind)
            {
            case record_kind::identity:
            {
                const auto j = nlohmann::json::from_cbor(payload);
                m_identity = {j.at("name").get<replica_name>(), j.at("incarnation")};
                return true;
            }
            case record_kind::base:
                m_state.base = from_bytes<snapshot>(payload);
                return true;
            case record_kind::hard:
                m_state.hard = from_bytes<hard_state>(payload);
                return true;
            case record_kind::entry:
                m_state.entries.push_back(from_bytes<log_entry>(payload));
                return true;
            case record_kind::truncate:
                truncate(std::stoll(payload));
                return true;
            }
        }
        catch (const std::exception&)
        {
            return false;
        }
        return false;
    }

    void truncate(log_index from)
    {
        std::erase_if(m_state.entries,
                      [&](const log_entry& e)
                      {
                          return e.index >= from;
                      });
    }

    void update_state(const output& changes)
    {
        if (changes.install)
        {
            m_state.entries.clear();
        }
        if (changes.hard)
        {
            m_state.hard = *changes.hard;
        }
        if (changes.truncate_from)
        {
            truncate(*changes.truncate_from);
        }
        m_state.entries.insert(m_state.entries.end(), changes.append.begin(), changes.append.end());
    }

    std::error_code write_new_file(const snapshot& base)
    {
        m_state.base = base;
        std::string records;
        append_record(
            records, record_kind::identity,
            to_bytes(nlohmann::json{{"name", m_identity.name}, {"incarnation", m_identity.incarnation}}));
        append_record(records, record_kind::base, to_bytes(m_state.base));
        append_record(records, record_kind::hard, to_bytes(m_state.hard));
        for (const log_entry& entry : m_state.entries)
        {
            append_record(records, record_kind::entry, to_bytes(entry));
        }
        return replace_file(records);
    }

    std::error_code replace_file(const std::string& records)
    {
        const std::uint64_t next = m_number + 1;
        const std::string path = path_of(next);
        const std::string temporary_path = path + ".tmp";
        (void)m_files.remove(temporary_path);
        std::error_code error;
        auto file = m_files.open(temporary_path, error);
        if (error || file.write(records) || file.sync() || m_files.rename(temporary_path, path) ||
            m_files.sync_folder(m_folder))
        {
            return errc::storage_failed;
        }
        // If the old file cannot be removed, it only wastes space: open() reads the file with the highest
        // number.
        (void)m_files.remove(path_of(m_number));
        m_file = std::move(file);
        m_number = next;
        m_bytes = records.size();
        return {};
    }

    FileSystem& m_files;
    std::string m_folder;
    store_identity m_identity;
    persisted_state m_state;
    typename FileSystem::file m_file;
    std::uint64_t m_number = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace flaxtiller::quorum
