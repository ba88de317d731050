#pragma once

#include <flaxtiller/quorum/log_store.hpp>
#include <flaxtiller/quorum/replica.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace flaxtiller::quorum
{

/// @brief The operations of a replicated state: application of a command, serialization and deserialization.
template <typename State>
concept replicated_state = requires(State& state, const std::string& bytes)
{
    // clang-format off
    { state.apply_bytes(bytes) } -> std::same_as<std::string>;
    { state.serialize() } -> std::same_as<std::string>;
    { State::deserialize(bytes) } -> std::same_as<State>;
    // clang-format on
};

/// @brief A @ref replica with its storage and the state that results from its committed entries.
///
/// The class is not thread-safe; all calls must come from one strand. Commands that are proposed before the
/// same call of @ref pump share one sync.
template <replicated_state State, file_system FileSystem>
class replicated_state_machine
{
  public:
    /// Receives the result of a command, or the error that prevented it.
    using completion = std::function<void(std::error_code, const std::string&)>;
    using sender = std::function<void(const message&)>;

    /// The number of applied entries after which the log is compacted.
    static constexpr log_index compact_after = 2000;
    /// The file size in bytes above which the log is compacted, unless the snapshot makes up a third of the
    /// file or more. The limit is low enough for the old and the new file to fit on a disk of 64 MB.
    static constexpr std::uint64_t compact_after_bytes = std::uint64_t{8} << 20U;

    replicated_state_machine(FileSystem& files, std::string folder, replica_name name, timing limits)
        : m_files(files), m_folder(std::move(folder)), m_name(std::move(name)), m_timing(limits)
    {
    }

    /// @brief Reads the data folder and starts the replica.
    /// @param fresh_incarnation the incarnation to use if the folder is empty
    /// @param seed the seed of the random election timeouts
    /// @param now the current time
    /// @return the storage error, or no error
    std::error_code open(incarnation_id fresh_incarnation, std::uint64_t seed, time_point now)
    {
        m_seed = seed;
        m_fresh_incarnation = fresh_incarnation;
        return reopen(now);
    }

    /// @brief Bootstraps a new log with this replica as the only member. The folder must be empty.
    std::error_code found(time_point now)
    {
        member_set single_member;
        if (m_replica)
        {
            single_member.members[m_name] = member{m_name, m_replica->incarnation(), true};
        }
        return found(std::move(single_member), now);
    }

    /// @brief Bootstraps a new log: writes a first snapshot that holds the member set and an empty state. The
    /// folder must be empty.
    /// @param founders the first members, this replica included. All of them must be started with the same
    /// member set, incarnations included.
    /// @param now the current time
    /// @return @ref errc::storage_foreign if the log is not empty, another storage error, or no error
    std::error_code found(member_set founders, time_point now)
    {
        if (!m_replica || m_replica->log().last_index() > 0 || m_replica->term() > 0)
        {
            return errc::storage_foreign;
        }
        snapshot base;
        base.last_index = 1;
        base.last_term = 1;
        base.members = std::move(founders);
        base.state = State{}.serialize();
        output initial;
        initial.install = base;
        initial.hard = hard_state{1, {}, 1};
        if (m_store->write(initial))
        {
            return errc::storage_failed;
        }
        return reopen(now);
    }

    void tick(time_point now)
    {
        if (!m_replica)
        {
            if (now >= m_reopen_at)
            {
                (void)reopen(now);
            }
            return;
        }
        m_replica->tick(now);
    }

    void receive(const message& received, time_point now)
    {
        if (m_replica)
        {
            m_replica->receive(received, now);
        }
    }

    /// @brief Appends a command to the log.
    /// @param command the command for the replicated state
    /// @param done called with the result once the command is applied, with @ref errc::not_leader if this
    /// replica cannot accept it, or with @ref errc::not_committed if it is unknown whether the command will
    /// be committed
    /// @param now the current time
    void propose(std::string command, completion done, time_point now)
    {
        const auto index = m_replica ? m_replica->propose(std::move(command), now) : std::nullopt;
        if (!index)
        {
            done(errc::not_leader, {});
            return;
        }
        m_pending_commands.emplace(*index, pending_command{m_replica->term(), std::move(done)});
    }

    /// @brief Carries out the pending actions of the replica: writes, syncs, sends messages and applies
    /// committed entries.
    void pump(const sender& send, time_point now)
    {
        while (m_replica)
        {
            output actions = m_replica->take_output();
            const bool is_empty = actions.send_now.empty() && !actions.must_sync() &&
                                  actions.send_after_sync.empty() && actions.committed.empty();
            if (is_empty)
            {
                break;
            }
            send_all(actions.send_now, send);
            if (actions.must_sync())
            {
                if (m_store->write(actions))
                {
                    fail(now);
                    return;
                }
                m_replica->on_synced();
                ++m_syncs;
            }
            send_all(actions.send_after_sync, send);
            apply(actions);
        }
        fail_pending_commands();
        compact_if_needed(now);
    }

    /// @return the replica, or a null pointer while its storage fails
    replica* node() noexcept
    {
        return m_replica ? &*m_replica : nullptr;
    }

    const State& state() const noexcept
    {
        return m_state;
    }

    /// @return the index of the last entry that was applied to the state
    log_index applied() const noexcept
    {
        return m_applied;
    }

    /// @return whether the state includes all committed entries and no other replica can be the leader
    bool is_authoritative(time_point now) const
    {
        return m_replica && m_replica->has_lease(now) && m_applied == m_replica->commit_index();
    }

    /// @return the current error of the storage; no error once it was reopened successfully
    std::error_code storage_error() const noexcept
    {
        return m_storage_error;
    }

    /// @return a message about a repair that was necessary on opening; empty if there was none
    const std::string& storage_warning() const noexcept
    {
        return m_storage_warning;
    }

    std::uint64_t syncs() const noexcept
    {
        return m_syncs;
    }

    std::uint64_t file_bytes() const noexcept
    {
        return m_store ? m_store->bytes() : 0;
    }

  private:
    static constexpr duration reopen_after = duration::from_ms(1000);

    struct pending_command
    {
        term_number term;
        completion done;
    };

    std::error_code reopen(time_point now)
    {
        m_store.emplace(m_files, m_folder);
        m_storage_warning.clear();
        m_storage_error = m_store->open(m_name, m_fresh_incarnation, m_storage_warning);
        if (m_storage_error)
        {
            m_replica.reset();
            m_reopen_at = now + reopen_after;
            return m_storage_error;
        }
        const persisted_state& stored = m_store->state();
        m_state = stored.base.state.empty() ? State{} : State::deserialize(stored.base.state);
        m_applied = stored.base.last_index;
        m_replica.emplace(m_name, m_store->identity().incarnation, m_timing, stored, m_seed++, now);
        return {};
    }

    void fail(time_point now)
    {
        // The state in memory may not be on disk. The replica starts again from the stored state.
        m_storage_error = errc::storage_failed;
        m_replica.reset();
        m_reopen_at = now + reopen_after;
        fail_pending_commands();
    }

    void send_all(const std::vector<message>& messages, const sender& send)
    {
        for (const message& item : messages)
        {
            send(item);
        }
    }

    void apply(const output& actions)
    {
        if (actions.install)
        {
            m_state = State::deserialize(actions.install->state);
            m_applied = actions.install->last_index;
        }
        for (const log_entry& entry : actions.committed)
        {
            std::string result;
            if (entry.kind == entry_kind::command)
            {
                result = m_state.apply_bytes(entry.command);
            }
            m_applied = entry.index;
            const auto found = m_pending_commands.find(entry.index);
            if (found == m_pending_commands.end())
            {
                continue;
            }
            const pending_command pending = std::move(found->second);
            m_pending_commands.erase(found);
            const bool same_entry = pending.term == entry.term;
            pending.done(same_entry ? std::error_code{} : make_error_code(errc::not_committed), result);
        }
    }

    /// Completes the pending commands unless this replica is the leader: the next leader may or may not
    /// commit them.
    void fail_pending_commands()
    {
        if (m_replica && m_replica->role() == role::leader)
        {
            return;
        }
        for (auto& [index, pending] : std::exchange(m_pending_commands, {}))
        {
            pending.done(errc::not_committed, {});
        }
    }

    void compact_if_needed(time_point now)
    {
        if (!m_replica || m_applied <= m_replica->log().base().last_index)
        {
            return;
        }
        const bool many = m_applied - m_replica->log().base().last_index >= compact_after;
        const std::uint64_t snapshot_bytes = m_replica->log().base().state.size();
        const bool large = m_store->bytes() > std::max(compact_after_bytes, 3 * snapshot_bytes);
        if (!many && !large)
        {
            return;
        }
        m_replica->compact(m_applied, m_state.serialize());
        if (m_store->compact(m_replica->log().base()))
        {
            fail(now);
        }
    }

    FileSystem& m_files;
    std::string m_folder;
    replica_name m_name;
    timing m_timing;
    std::uint64_t m_seed = 0;
    incarnation_id m_fresh_incarnation = 0;
    std::optional<log_store<FileSystem>> m_store;
    std::optional<replica> m_replica;
    State m_state;
    log_index m_applied = 0;
    std::map<log_index, pending_command> m_pending_commands;
    std::error_code m_storage_error;
    std::string m_storage_warning;
    time_point m_reopen_at{};
    std::uint64_t m_syncs = 0;
};

} // namespace flaxtiller::quorum
