#pragma once

#include "simulated_disk.hpp"

#include <flaxtiller/quorum/replica.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller::test
{

/// @brief Runs the replicas of one log through a random schedule of faults and checks the invariants after
/// each step.
///
/// The faults are lost, delayed and duplicated messages, crashes between any two steps of writing and
/// sending, frozen processes, links blocked in one direction, and lost data folders with their repair. The
/// schedule depends on the seed only. The invariants: a committed entry is never replaced, each term has at
/// most one leader, at most one replica holds the lease, and the holder of the lease has all committed
/// entries.
class quorum_harness
{
  public:
    quorum_harness(std::uint64_t seed, int replicas) : m_random(seed)
    {
        for (int i = 0; i < replicas; ++i)
        {
            const quorum::replica_name name("c" + std::to_string(i));
            simulated_replica fresh;
            fresh.name = name;
            fresh.incarnation = ++m_last_incarnation;
            fresh.clock_rate = 1.0 + draw(-9, 9) / 1000.0;
            m_replicas.push_back(std::move(fresh));
        }
        quorum::snapshot base;
        base.last_index = 1;
        base.last_term = 1;
        for (const simulated_replica& item : m_replicas)
        {
            base.members.members[item.name] = {item.name, item.incarnation, true};
        }
        for (simulated_replica& item : m_replicas)
        {
            item.disk.base = base;
            item.disk.hard.term = 1;
            item.disk.hard.known_commit = 1;
            start(item);
        }
    }

    /// @brief Runs @a steps random steps.
    /// @return the first violated invariant, or an empty string
    std::string run(int steps)
    {
        for (int i = 0; i < steps && m_violation.empty(); ++i)
        {
            random_step();
            check();
        }
        return m_violation;
    }

    /// @brief Ends all faults and waits until further commands are committed.
    /// @return the first violated invariant or a message that no progress was made, or an empty string
    std::string settle()
    {
        m_settling = true;
        heal();
        const std::size_t before = m_committed.size();
        constexpr int max_settle_steps = 4000;
        for (int i = 0; i < max_settle_steps && m_violation.empty(); ++i)
        {
            advance_time(10);
            deliver_all();
            repair_step();
            propose();
            check();
            if (m_committed.size() > before + 3 && !m_wiped_replica)
            {
                return m_violation;
            }
        }
        return m_violation.empty() ? "no progress after all faults ended" + describe() : m_violation;
    }

    /// @return the state of each replica, for a failure message
    std::string describe() const
    {
        std::string text;
        for (const simulated_replica& item : m_replicas)
        {
            text += "\n  " + item.name.str() + "/" + std::to_string(item.incarnation);
            if (!item.process)
            {
                text += " down";
                continue;
            }
            const quorum::replica& r = *item.process;
            text += " role " + std::to_string(static_cast<int>(r.role())) + " term " +
                    std::to_string(r.term()) + " log " + std::to_string(r.log().first_index()) + ".." +
                    std::to_string(r.log().last_index()) + "/" + std::to_string(r.log().last_term()) +
                    " commit " + std::to_string(r.commit_index()) + " known " +
                    std::to_string(item.disk.hard.known_commit) + " members at " +
                    std::to_string(r.log().members_index()) + ":";
            for (const auto& [name, member] : r.members().members)
            {
                text +=
                    " " + name.str() + "/" + std::to_string(member.incarnation) + (member.voter ? "v" : "l");
            }
        }
        return text;
    }

    std::size_t committed() const
    {
        return m_committed.size();
    }

    std::size_t elections() const
    {
        return m_leaders.size();
    }

    std::size_t repairs() const
    {
        return m_repairs;
    }

  private:
    struct simulated_replica
    {
        quorum::replica_name name;
        quorum::incarnation_id incarnation = 0;
        double clock_rate = 1.0;
        quorum::persisted_state disk;
        std::unique_ptr<quorum::replica> process;
        bool frozen = false;
        /// Whether the replica lost its disk and is not repaired yet.
        bool wiped = false;
        quorum::log_index applied = 0;
    };

    struct committed_entry
    {
        quorum::term_number term = 0;
        std::string command;
    };

    int draw(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }

    time_point now_of(const simulated_replica& item) const
    {
        return time_point(duration::from_ms(100000.0 + m_now_ms * item.clock_rate));
    }

    void start(simulated_replica& item)
    {
        item.process = std::make_unique<quorum::replica>(item.name, item.incarnation, quorum::timing{},
                                                         item.disk, m_random(), now_of(item));
        item.applied = item.disk.base.last_index;
    }

    // ------------------------------------------------------------------ steps

    /// Phases with all kinds of faults alternate with quiet phases, in which commands are committed.
    void random_step()
    {
        if (m_phase_left-- == 0)
        {
            begin_phase();
        }
        m_quiet_phase ? quiet_step() : fault_step();
    }

    void begin_phase()
    {
        m_quiet_phase = !m_quiet_phase;
        m_phase_left = draw(20, 120);
        m_keep_links_blocked = m_quiet_phase && draw(0, 2) == 0;
        if (!m_keep_links_blocked)
        {
            return;
        }
        // A long quiet phase with blocked links, after which a disk and the leader may be lost at the same
        // time.
        heal();
        block_or_heal_links();
        block_or_heal_links();
        m_phase_left = draw(60, 200);
    }

    void lose_disk_and_leader()
    {
        lose_disk();
        for (simulated_replica& item : m_replicas)
        {
            if (item.process && item.process->role() == quorum::role::leader)
            {
                item.process.reset();
            }
        }
    }

    void quiet_step()
    {
        if (m_keep_links_blocked && m_phase_left == 1 && draw(0, 1) == 0)
        {
            lose_disk_and_leader();
        }
        advance_time(draw(5, 40));
        deliver_all();
        if (draw(0, 3) == 0)
        {
            propose();
        }
        if (draw(0, 9) == 0 && !m_keep_links_blocked)
        {
            heal();
            repair_step();
        }
    }

    void heal()
    {
        m_blocked_links.clear();
        for (simulated_replica& item : m_replicas)
        {
            item.frozen = false;
            if (!item.process && !item.wiped)
            {
                start(item);
            }
        }
    }

    void fault_step()
    {
        const int kind = draw(0, 99);
        if (kind < 30)
        {
            advance_time(draw(1, 60));
        }
        else if (kind < 75)
        {
            deliver_some();
        }
        else if (kind < 88)
        {
            propose();
        }
        else if (kind < 90)
        {
            draw(0, 4) == 0 ? restart_several() : crash_or_start();
        }
        else if (kind < 92)
        {
            simulated_replica& item = random_replica();
            item.frozen = !item.frozen;
        }
        else if (kind < 94)
        {
            block_or_heal_links();
        }
        else if (kind < 96)
        {
            compact();
        }
        else
        {
            repair_step();
            if (draw(0, 9) == 0)
            {
                lose_disk();
            }
        }
    }

    simulated_replica& random_replica()
    {
        return m_replicas[static_cast<std::size_t>(draw(0, static_cast<int>(m_replicas.size()) - 1))];
    }

    void advance_time(int ms)
    {
        m_now_ms += ms;
        for (simulated_replica& item : m_replicas)
        {
            if (item.process && !item.frozen)
            {
                item.process->tick(now_of(item));
                pump(item);
            }
        }
    }

    void deliver_some()
    {
        for (int i = draw(1, 12); i > 0 && !m_network.empty(); --i)
        {
            const auto index = static_cast<std::size_t>(draw(0, static_cast<int>(m_network.size()) - 1));
            const quorum::message picked = m_network[index];
            const int outcome = draw(0, 19);
            if (outcome != 0)
            {
                m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
            }
            if (outcome != 1)
            {
                deliver(picked);
            }
        }
    }

    void deliver_all()
    {
        for (int i = 0; i < 200 && !m_network.empty(); ++i)
        {
            const quorum::message picked = m_network.front();
            m_network.erase(m_network.begin());
            deliver(picked);
        }
    }

    void deliver(const quorum::message& picked)
    {
        for (simulated_replica& item : m_replicas)
        {
            const bool blocked = m_blocked_links.count({picked.from, picked.to}) > 0;
            if (item.name == picked.to && item.process && !item.frozen && !blocked)
            {
                item.process->receive(picked, now_of(item));
                pump(item);
            }
        }
    }

    void propose()
    {
        for (simulated_replica& item : m_replicas)
        {
            if (item.process && !item.frozen && item.process->role() == quorum::role::leader)
            {
                item.process->propose("command " + std::to_string(++m_proposed), now_of(item));
                pump(item);
            }
        }
    }

    void crash_or_start()
    {
        simulated_replica& item = random_replica();
        if (item.process)
        {
            item.process.reset();
        }
        else if (!item.wiped)
        {
            start(item);
        }
    }

    /// Restarts several processes at the same time, as after a loss of power of several instances.
    void restart_several()
    {
        for (simulated_replica& item : m_replicas)
        {
            if (draw(0, 3) > 0 && !item.wiped)
            {
                start(item);
            }
        }
    }

    void block_or_heal_links()
    {
        if (draw(0, 2) == 0)
        {
            m_blocked_links.clear();
            return;
        }
        const simulated_replica& a = random_replica();
        const simulated_replica& b = random_replica();
        m_blocked_links.insert({a.name, b.name});
        if (draw(0, 1) == 0)
        {
            m_blocked_links.insert({b.name, a.name});
        }
    }

    void compact()
    {
        simulated_replica& item = random_replica();
        if (!item.process || item.frozen)
        {
            return;
        }
        item.process->compact(item.applied, "state");
        const auto& base = item.process->log().base();
        std::erase_if(item.disk.entries,
                      [&](const quorum::log_entry& e)
                      {
                          return e.index <= base.last_index;
                      });
        item.disk.base = base;
    }

    /// Removes the data folder of one replica. Only one disk is lost at a time, and the next one only after
    /// the repair.
    void lose_disk()
    {
        if (m_wiped_replica)
        {
            return;
        }
        simulated_replica& item = random_replica();
        item.process.reset();
        item.wiped = true;
        item.disk = {};
        item.incarnation = ++m_last_incarnation;
        m_wiped_replica = item.name;
    }

    void repair_step()
    {
        if (!m_wiped_replica)
        {
            return;
        }
        simulated_replica* wiped = find(*m_wiped_replica);
        if (!wiped->process)
        {
            // The replica returns with an empty data folder.
            start(*wiped);
        }
        for (simulated_replica& item : m_replicas)
        {
            if (!item.process || item.frozen || !item.process->is_ready_leader())
            {
                continue;
            }
            const auto& members = item.process->members();
            const bool committed = item.process->log().members_index() <= item.process->commit_index();
            if (members.is_voter(wiped->name, wiped->incarnation) && committed)
            {
                wiped->wiped = false;
                m_wiped_replica.reset();
                ++m_repairs;
                return;
            }
            const auto found = members.members.find(wiped->name);
            if (found == members.members.end() || found->second.incarnation != wiped->incarnation)
            {
                (void)item.process->add_member(wiped->name, wiped->incarnation, now_of(item));
                pump(item);
            }
        }
    }

    simulated_replica* find(const quorum::replica_name& name)
    {
        for (simulated_replica& item : m_replicas)
        {
            if (item.name == name)
            {
                return &item;
            }
        }
        return nullptr;
    }

    // ------------------------------------------------------------------ caller of a replica

    /// Writes, syncs, sends and applies. The process may crash between any two of these steps.
    void pump(simulated_replica& item)
    {
        while (true)
        {
            quorum::output actions = item.process->take_output();
            const bool is_empty = actions.send_now.empty() && actions.send_after_sync.empty() &&
                                  actions.committed.empty() && !actions.must_sync();
            if (is_empty)
            {
                return;
            }
            const bool crashes = !m_settling && draw(0, 499) == 0;
            const int crash_point = crashes ? draw(0, 3) : -1;
            send(actions.send_now);
            if (crash_point == 0)
            {
                item.process.reset();
                return;
            }
            write_to(item.disk, actions);
            if (crash_point == 1)
            {
                item.process.reset();
                return;
            }
            if (actions.must_sync())
            {
                item.process->on_synced();
            }
            send(actions.send_after_sync);
            if (crash_point == 2)
            {
                item.process.reset();
                return;
            }
            apply(item, actions);
            if (crash_point == 3)
            {
                item.process.reset();
                return;
            }
        }
    }

    void send(const std::vector<quorum::message>& messages)
    {
        m_network.insert(m_network.end(), messages.begin(), messages.end());
    }

    void apply(simulated_replica& item, const quorum::output& actions)
    {
        if (actions.install)
        {
            item.applied = actions.install->last_index;
        }
        for (const quorum::log_entry& entry : actions.committed)
        {
            if (entry.index != item.applied + 1)
            {
                report_violation(item, "entry applied out of order");
            }
            item.applied = entry.index;
            const auto [known, fresh] =
                m_committed.emplace(entry.index, committed_entry{entry.term, entry.command});
            if (!fresh && (known->second.term != entry.term || known->second.command != entry.command))
            {
                report_violation(item, "committed entry replaced at index " + std::to_string(entry.index));
            }
        }
    }

    // ------------------------------------------------------------------ invariants

    void report_violation(const simulated_replica& item, const std::string& violation)
    {
        if (m_violation.empty())
        {
            m_violation = item.name.str() + ": " + violation;
        }
    }

    void check()
    {
        int leases = 0;
        for (const simulated_replica& item : m_replicas)
        {
            if (!item.process)
            {
                continue;
            }
            check_disk(item);
            if (item.process->role() == quorum::role::leader)
            {
                check_leader(item);
            }
            if (!item.frozen && item.process->has_lease(now_of(item)))
            {
                ++leases;
                check_complete(item);
            }
        }
        if (leases > 1)
        {
            m_violation = "two replicas hold the lease";
        }
    }

    void check_leader(const simulated_replica& item)
    {
        const auto leader_identity = std::pair(item.name, item.incarnation);
        const auto [known, fresh] = m_leaders.emplace(item.process->term(), leader_identity);
        if (!fresh && known->second != leader_identity)
        {
            report_violation(item, "two leaders in term " + std::to_string(item.process->term()));
        }
    }

    /// The holder of the lease has all committed entries.
    void check_complete(const simulated_replica& item)
    {
        if (!m_committed.empty() && item.process->commit_index() < m_committed.rbegin()->first)
        {
            report_violation(item, "holder of the lease lacks a committed entry");
        }
    }

    /// The log and the term in memory equal those on disk between two steps.
    void check_disk(const simulated_replica& item)
    {
        const quorum::log_index on_disk =
            item.disk.base.last_index + static_cast<quorum::log_index>(item.disk.entries.size());
        if (on_disk != item.process->log().last_index() || item.disk.hard.term != item.process->term())
        {
            report_violation(item, "memory and disk differ between steps");
        }
    }

    std::mt19937_64 m_random;
    double m_now_ms = 0;
    std::vector<simulated_replica> m_replicas;
    std::vector<quorum::message> m_network;
    std::set<std::pair<quorum::replica_name, quorum::replica_name>> m_blocked_links;
    std::map<quorum::log_index, committed_entry> m_committed;
    std::map<quorum::term_number, std::pair<quorum::replica_name, quorum::incarnation_id>> m_leaders;
    std::optional<quorum::replica_name> m_wiped_replica;
    quorum::incarnation_id m_last_incarnation = 0;
    bool m_settling = false;
    bool m_quiet_phase = false;
    bool m_keep_links_blocked = false;
    int m_phase_left = 0;
    std::size_t m_proposed = 0;
    std::size_t m_repairs = 0;
    std::string m_violation;
};

} // namespace flaxtiller::test
