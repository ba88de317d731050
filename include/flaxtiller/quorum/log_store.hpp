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

/// @brief Which replica a folder belongs to.
struct store_identity
{
    replica_name name;
    incarnation_id incarnation = 0;

    bool operator==(const store_identity&) const = default;
};

/// @brief The durable side of one replicated log, in files `log-<number>` of a folder.
///
/// One file holds everything: identity, snapshot, hard state, entries. Compaction writes the next file, syncs
/// and renames it, then removes the old one. A failed write or sync leaves the store unusable; open it again,
/// which writes a new file, because after a failed sync the kernel's copy of the old one proves nothing.
template <file_system FileSystem>
class log_store
{
  public:
    /// @param folder must exist
    log_store(FileSystem& files, std::string folder) : m_files(files), m_folder(std::move(folder))
    {
    }

    /// @brief Reads what is in the folder, or makes it this replica's if it is empty.
    /// @param fresh_incarnation used if the folder is empty
    /// @param warning set to a text where a torn tail was cut off
    /// @return @ref errc::storage_corrupt, @ref errc::storage_foreign, @ref errc::storage_failed, or nothing
    std::error_code open(const replica_name& name, incarnation_id fresh_incarnation, std::string& warning)
    {
        std::error_code failed;
        const auto names = m_files.list(m_folder, failed);
        if (failed)
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
            return rewrite(m_state.base);
        }
        m_number = *newest;
        failed = load(warning);
        if (failed)
        {
            return failed;
        }
        if (m_identity.name != name)
        {
            return errc::storage_foreign;
        }
        return rewrite(m_state.base);
    }

    /// @return what @ref open found
    const persisted_state& state() const noexcept
    {
        return m_state;
    }

    /// @return whose folder it is
    const store_identity& identity() const noexcept
    {
        return m_identity;
    }

    /// @brief Writes and syncs all that @a wanted asks for, in one write and one sync.
    /// @return @ref errc::storage_failed if it isn't known to be on disk; then open the store again
    std::error_code write(const output& wanted)
    {
        if (wanted.install)
        {
            keep(wanted);
            return rewrite(*wanted.install);
        }
        std::string records;
        if (wanted.hard)
        {
            append_record(records, record_kind::hard, to_bytes(*wanted.hard));
        }
        if (wanted.truncate_from)
        {
            append_record(records, record_kind::truncate, std::to_string(*wanted.truncate_from));
        }
        for (const log_entry& entry : wanted.append)
        {
            append_record(records, record_kind::entry, to_bytes(entry));
        }
        keep(wanted);
        if (m_file.write(records) || m_file.sync())
        {
            return errc::storage_failed;
        }
        m_bytes += records.size();
        return {};
    }

    /// @brief Drops the entries up to @a base and keeps @a base instead.
    std::error_code compact(const snapshot& base)
    {
        auto& entries = m_state.entries;
        const auto kept = std::find_if(entries.begin(), entries.end(),
                                       [&](const log_entry& e)
                                       {
                                           return e.index > base.last_index;
                                       });
        entries.erase(entries.begin(), kept);
        return rewrite(base);
    }

    /// @return the size of the present file in bytes
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
                warning = "cut off a torn record at byte " + std::to_string(offset);
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

    void keep(const output& wanted)
    {
        if (wanted.install)
        {
            m_state.entries.clear();
        }
        if (wanted.hard)
        {
            m_state.hard = *wanted.hard;
        }
        if (wanted.truncate_from)
        {
            truncate(*wanted.truncate_from);
        }
        m_state.entries.insert(m_state.entries.end(), wanted.append.begin(), wanted.append.end());
    }

    std::error_code rewrite(const snapshot& base)
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
        const std::string unfinished = path + ".tmp";
        (void)m_files.remove(unfinished);
        std::error_code failed;
        auto file = m_files.open(unfinished, failed);
        if (failed || file.write(records) || file.sync() || m_files.rename(unfinished, path) ||
            m_files.sync_folder(m_folder))
        {
            return errc::storage_failed;
        }
        // Failing to remove the old file wastes space only: the newest one counts.
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
