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

/// @brief What a machine's state must offer: apply a command, and turn into bytes and back.
template <typename State>
concept replicated_state = requires(State& state, const std::string& bytes)
{
    // clang-format off
    { state.apply_bytes(bytes) } -> std::same_as<std::string>;
    { state.serialize() } -> std::same_as<std::string>;
    { State::deserialize(bytes) } -> std::same_as<State>;
    // clang-format on
};

/// @brief A replica together with its files and the state that its committed entries make.
///
/// Not thread-safe: feed it from one strand. Several commands proposed before @ref pump share one sync.
template <replicated_state State, file_system FileSystem>
class replicated_state_machine
{
  public:
    /// Told the result of a command, or why there is none.
    using completion = std::function<void(std::error_code, const std::string&)>;
    using sender = std::function<void(const message&)>;

    /// Entries after which the log is compacted.
    static constexpr log_index compact_after = 2000;
    /// Bytes of the file after which the log is compacted, unless the snapshot itself is a third of them:
    /// small enough that the old and the new file fit on a disk of 64 MB.
    static constexpr std::uint64_t compact_after_bytes = std::uint64_t{8} << 20U;

    replicated_state_machine(FileSystem& files, std::string folder, replica_name name, timing limits)
        : m_files(files), m_folder(std::move(folder)), m_name(std::move(name)), m_timing(limits)
    {
    }

    /// @brief Reads the folder and starts the replica.
    std::error_code open(incarnation_id fresh_incarnation, std::uint64_t seed, time_point now)
    {
        m_seed = seed;
        m_fresh_incarnation = fresh_incarnation;
        return reopen(now);
    }

    /// @brief Makes this replica the only member of a new log. Only for an empty folder.
    std::error_code found(time_point now)
    {
        member_set only;
        if (m_replica)
        {
            only.members[m_name] = member{m_name, m_replica->incarnation(), true};
        }
        return found(std::move(only), now);
    }

    /// @brief Makes the first snapshot of a new log with these members, this one among them. Only for an
    /// empty folder; all founders must name the same members and incarnations.
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
        output first;
        first.install = base;
        first.hard = hard_state{1, {}, 1};
        if (m_store->write(first))
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

    /// @brief Puts a command into the log; @a done is called once it is applied, or can't be known to be.
    void propose(std::string command, completion done, time_point now)
    {
        const auto index = m_replica ? m_replica->propose(std::move(command), now) : std::nullopt;
        if (!index)
        {
            done(errc::not_leader, {});
            return;
        }
        m_waiting.emplace(*index, waiting{m_replica->term(), std::move(done)});
    }

    /// @brief Carries out what the replica wants: writes, syncs, sends, applies.
    void pump(const sender& send, time_point now)
    {
        while (m_replica)
        {
            output wanted = m_replica->take_output();
            const bool nothing = wanted.send_now.empty() && !wanted.must_sync() &&
                                 wanted.send_after_sync.empty() && wanted.committed.empty();
            if (nothing)
            {
                break;
            }
            send_all(wanted.send_now, send);
            if (wanted.must_sync())
            {
                if (m_store->write(wanted))
                {
                    fail(now);
                    return;
                }
                m_replica->on_synced();
                ++m_syncs;
            }
            send_all(wanted.send_after_sync, send);
            apply(wanted);
        }
        fail_pending_commands();
        compact_if_needed(now);
    }

    /// @return the replica, or nothing while its storage fails
    replica* node() noexcept
    {
        return m_replica ? &*m_replica : nullptr;
    }

    const State& state() const noexcept
    {
        return m_state;
    }

    /// @return the index of the last entry that the state holds
    log_index applied() const noexcept
    {
        return m_applied;
    }

    /// @return whether the state is the present one and no other replica can lead
    bool is_authoritative(time_point now) const
    {
        return m_replica && m_replica->has_lease(now) && m_applied == m_replica->commit_index();
    }

    /// @return the last error of the storage
    std::error_code storage_error() const noexcept
    {
        return m_storage_error;
    }

    /// @return a text on what was repaired on opening; empty if nothing
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

    struct waiting
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
        // What is in memory may not be on disk: start again from what the disk holds.
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

    void apply(const output& wanted)
    {
        if (wanted.install)
        {
            m_state = State::deserialize(wanted.install->state);
            m_applied = wanted.install->last_index;
        }
        for (const log_entry& entry : wanted.committed)
        {
            std::string result;
            if (entry.kind == entry_kind::command)
            {
                result = m_state.apply_bytes(entry.command);
            }
            m_applied = entry.index;
            const auto found = m_waiting.find(entry.index);
            if (found == m_waiting.end())
            {
                continue;
            }
            const waiting waiter = std::move(found->second);
            m_waiting.erase(found);
            const bool same = waiter.term == entry.term;
            waiter.done(same ? std::error_code{} : make_error_code(errc::not_committed), result);
        }
    }

    /// Commands of a term in which this replica no longer leads may or may not be committed by another.
    void fail_pending_commands()
    {
        if (m_replica && m_replica->role() == role::leader)
        {
            return;
        }
        for (auto& [index, waiter] : std::exchange(m_waiting, {}))
        {
            waiter.done(errc::not_committed, {});
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
    std::map<log_index, waiting> m_waiting;
    std::error_code m_storage_error;
    std::string m_storage_warning;
    time_point m_reopen_at{};
    std::uint64_t m_syncs = 0;
};

} // namespace flaxtiller::quorum
