#pragma once

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

/// Drives replicas of one log through a seeded schedule of messages lost, late and doubled, crashes between
/// any two steps of writing and sending, freezes, cuts in one direction, wiped folders and repairs; and
/// checks after each step what must always hold.
class quorum_harness
{
  public:
    quorum_harness(std::uint64_t seed, int replicas) : m_random(seed)
    {
        for (int i = 0; i < replicas; ++i)
        {
            const quorum::replica_name name("c" + std::to_string(i));
            node fresh;
            fresh.name = name;
            fresh.incarnation = ++m_last_incarnation;
            fresh.rate = 1.0 + draw(-9, 9) / 1000.0;
            m_nodes.push_back(std::move(fresh));
        }
        quorum::snapshot base;
        base.last_index = 1;
        base.last_term = 1;
        for (const node& item : m_nodes)
        {
            base.members.members[item.name] = {item.name, item.incarnation, true};
        }
        for (node& item : m_nodes)
        {
            item.disk.base = base;
            item.disk.hard.term = 1;
            item.disk.hard.known_commit = 1;
            start(item);
        }
    }

    /// Runs so many random steps. @return what was violated, or an empty text
    std::string run(int steps)
    {
        for (int i = 0; i < steps && m_violation.empty(); ++i)
        {
            random_step();
            check();
        }
        return m_violation;
    }

    /// Ends all faults and waits for a leader that commits one more command.
    std::string settle()
    {
        m_settling = true;
        heal();
        const std::size_t before = m_committed.size();
        constexpr int patience = 4000;
        for (int i = 0; i < patience && m_violation.empty(); ++i)
        {
            pass_time(10);
            deliver_all();
            repair_step();
            propose();
            check();
            if (m_committed.size() > before + 3 && !m_lost_name)
            {
                return m_violation;
            }
        }
        return m_violation.empty() ? "no progress after all faults ended" + describe() : m_violation;
    }

    /// Where each replica stands, for the report of a failure.
    std::string describe() const
    {
        std::string text;
        for (const node& item : m_nodes)
        {
            text += "\n  " + item.name.str() + "/" + std::to_string(item.incarnation);
            if (!item.node)
            {
                text += " down";
                continue;
            }
            const quorum::replica& r = *item.node;
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
    struct node
    {
        quorum::replica_name name;
        quorum::incarnation_id incarnation = 0;
        double rate = 1.0;
        quorum::persisted_state disk;
        std::unique_ptr<quorum::replica> node;
        bool frozen = false;
        /// Its disk was lost and the repair isn't finished.
        bool lost = false;
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

    time_point now_of(const node& item) const
    {
        return time_point(duration::from_ms(100000.0 + m_now_ms * item.rate));
    }

    void start(node& item)
    {
        item.node = std::make_unique<quorum::replica>(item.name, item.incarnation, quorum::timing{},
                                                      item.disk, m_random(), now_of(item));
        item.applied = item.disk.base.last_index;
    }

    // ------------------------------------------------------------------ steps

    /// Rough phases, with all kinds of faults, alternate with calm ones, in which work gets done.
    void random_step()
    {
        if (m_phase_left-- == 0)
        {
            begin_phase();
        }
        m_calm ? calm_step() : rough_step();
    }

    void begin_phase()
    {
        m_calm = !m_calm;
        m_phase_left = draw(20, 120);
        m_keep_cuts = m_calm && draw(0, 2) == 0;
        if (!m_keep_cuts)
        {
            return;
        }
        // A long quiet time with someone cut off; then a disk and the leader are lost together.
        heal();
        cut_or_heal();
        cut_or_heal();
        m_phase_left = draw(60, 200);
    }

    void lose_disk_and_leader()
    {
        lose_disk();
        for (node& item : m_nodes)
        {
            if (item.node && item.node->role() == quorum::role::leader)
            {
                item.node.reset();
            }
        }
    }

    void calm_step()
    {
        if (m_keep_cuts && m_phase_left == 1 && draw(0, 1) == 0)
        {
            lose_disk_and_leader();
        }
        pass_time(draw(5, 40));
        deliver_all();
        if (draw(0, 3) == 0)
        {
            propose();
        }
        if (draw(0, 9) == 0 && !m_keep_cuts)
        {
            heal();
            repair_step();
        }
    }

    void heal()
    {
        m_cuts.clear();
        for (node& item : m_nodes)
        {
            item.frozen = false;
            if (!item.node && !item.lost)
            {
                start(item);
            }
        }
    }

    void rough_step()
    {
        const int kind = draw(0, 99);
        if (kind < 30)
        {
            pass_time(draw(1, 60));
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
            draw(0, 4) == 0 ? restart_some() : crash_or_start();
        }
        else if (kind < 92)
        {
            node& item = any();
            item.frozen = !item.frozen;
        }
        else if (kind < 94)
        {
            cut_or_heal();
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

    node& any()
    {
        return m_nodes[static_cast<std::size_t>(draw(0, static_cast<int>(m_nodes.size()) - 1))];
    }

    void pass_time(int ms)
    {
        m_now_ms += ms;
        for (node& item : m_nodes)
        {
            if (item.node && !item.frozen)
            {
                item.node->tick(now_of(item));
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
            const int fate = draw(0, 19);
            if (fate != 0)
            {
                m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
            }
            if (fate != 1)
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
        for (node& item : m_nodes)
        {
            const bool cut = m_cuts.count({picked.from, picked.to}) > 0;
            if (item.name == picked.to && item.node && !item.frozen && !cut)
            {
                item.node->receive(picked, now_of(item));
                pump(item);
            }
        }
    }

    void propose()
    {
        for (node& item : m_nodes)
        {
            if (item.node && !item.frozen && item.node->role() == quorum::role::leader)
            {
                item.node->propose("command " + std::to_string(++m_proposed), now_of(item));
                pump(item);
            }
        }
    }

    void crash_or_start()
    {
        node& item = any();
        if (item.node)
        {
            item.node.reset();
        }
        else if (!item.lost)
        {
            start(item);
        }
    }

    /// Several processes end and are back at once, as when machines lose power together.
    void restart_some()
    {
        for (node& item : m_nodes)
        {
            if (draw(0, 3) > 0 && !item.lost)
            {
                start(item);
            }
        }
    }

    void cut_or_heal()
    {
        if (draw(0, 2) == 0)
        {
            m_cuts.clear();
            return;
        }
        const node& a = any();
        const node& b = any();
        m_cuts.insert({a.name, b.name});
        if (draw(0, 1) == 0)
        {
            m_cuts.insert({b.name, a.name});
        }
    }

    void compact()
    {
        node& item = any();
        if (!item.node || item.frozen)
        {
            return;
        }
        item.node->compact(item.applied, "state");
        const auto& base = item.node->log().base();
        std::erase_if(item.disk.entries,
                      [&](const quorum::log_entry& e)
                      {
                          return e.index <= base.last_index;
                      });
        item.disk.base = base;
    }

    /// One disk at a time, and only while every other voter has its own and the last repair is finished.
    void lose_disk()
    {
        if (m_lost_name)
        {
            return;
        }
        node& item = any();
        item.node.reset();
        item.lost = true;
        item.disk = {};
        item.incarnation = ++m_last_incarnation;
        m_lost_name = item.name;
    }

    void repair_step()
    {
        if (!m_lost_name)
        {
            return;
        }
        node* lost = find(*m_lost_name);
        if (!lost->node)
        {
            // Back on an empty folder.
            start(*lost);
        }
        for (node& item : m_nodes)
        {
            if (!item.node || item.frozen || !item.node->is_ready_leader())
            {
                continue;
            }
            const auto& members = item.node->members();
            const bool committed = item.node->log().members_index() <= item.node->commit_index();
            if (members.is_voter(lost->name, lost->incarnation) && committed)
            {
                lost->lost = false;
                m_lost_name.reset();
                ++m_repairs;
                return;
            }
            const auto found = members.members.find(lost->name);
            if (found == members.members.end() || found->second.incarnation != lost->incarnation)
            {
                (void)item.node->add_member(lost->name, lost->incarnation, now_of(item));
                pump(item);
            }
        }
    }

    node* find(const quorum::replica_name& name)
    {
        for (node& item : m_nodes)
        {
            if (item.name == name)
            {
                return &item;
            }
        }
        return nullptr;
    }

    // ------------------------------------------------------------------ a replica's shell

    /// Writes, syncs, sends and applies; a crash may come between any two of these.
    void pump(node& item)
    {
        while (true)
        {
            quorum::output wanted = item.node->take_output();
            const bool nothing = wanted.send_now.empty() && wanted.send_after_sync.empty() &&
                                 wanted.committed.empty() && !wanted.must_sync();
            if (nothing)
            {
                return;
            }
            const bool crashes = !m_settling && draw(0, 499) == 0;
            const int crash_point = crashes ? draw(0, 3) : -1;
            send(wanted.send_now);
            if (crash_point == 0)
            {
                item.node.reset();
                return;
            }
            write(item, wanted);
            if (crash_point == 1)
            {
                item.node.reset();
                return;
            }
            if (wanted.must_sync())
            {
                item.node->on_synced();
            }
            send(wanted.send_after_sync);
            if (crash_point == 2)
            {
                item.node.reset();
                return;
            }
            apply(item, wanted);
            if (crash_point == 3)
            {
                item.node.reset();
                return;
            }
        }
    }

    void send(const std::vector<quorum::message>& messages)
    {
        m_network.insert(m_network.end(), messages.begin(), messages.end());
    }

    static void write(node& item, const quorum::output& wanted)
    {
        if (wanted.hard)
        {
            item.disk.hard = *wanted.hard;
        }
        if (wanted.install)
        {
            item.disk.base = *wanted.install;
            item.disk.entries.clear();
        }
        if (wanted.truncate_from)
        {
            std::erase_if(item.disk.entries,
                          [&](const quorum::log_entry& e)
                          {
                              return e.index >= *wanted.truncate_from;
                          });
        }
        item.disk.entries.insert(item.disk.entries.end(), wanted.append.begin(), wanted.append.end());
    }

    void apply(node& item, const quorum::output& wanted)
    {
        if (wanted.install)
        {
            item.applied = wanted.install->last_index;
        }
        for (const quorum::log_entry& entry : wanted.committed)
        {
            if (entry.index != item.applied + 1)
            {
                violate(item, "applied out of order");
            }
            item.applied = entry.index;
            const auto [known, fresh] =
                m_committed.emplace(entry.index, committed_entry{entry.term, entry.command});
            if (!fresh && (known->second.term != entry.term || known->second.command != entry.command))
            {
                violate(item, "an accepted entry was replaced at " + std::to_string(entry.index));
            }
        }
    }

    // ------------------------------------------------------------------ what must always hold

    void violate(const node& item, const std::string& what)
    {
        if (m_violation.empty())
        {
            m_violation = item.name.str() + ": " + what;
        }
    }

    void check()
    {
        int leases = 0;
        for (const node& item : m_nodes)
        {
            if (!item.node)
            {
                continue;
            }
            check_disk(item);
            if (item.node->role() == quorum::role::leader)
            {
                check_leader(item);
            }
            if (!item.frozen && item.node->has_lease(now_of(item)))
            {
                ++leases;
                check_complete(item);
            }
        }
        if (leases > 1)
        {
            m_violation = "the lease is held twice";
        }
    }

    void check_leader(const node& item)
    {
        const auto leads = std::pair(item.name, item.incarnation);
        const auto [known, fresh] = m_leaders.emplace(item.node->term(), leads);
        if (!fresh && known->second != leads)
        {
            violate(item, "two leaders in term " + std::to_string(item.node->term()));
        }
    }

    /// What a leader answers under its lease holds everything that was ever accepted.
    void check_complete(const node& item)
    {
        if (!m_committed.empty() && item.node->commit_index() < m_committed.rbegin()->first)
        {
            violate(item, "holds the lease without an accepted entry");
        }
    }

    /// What counts as written is on the disk.
    void check_disk(const node& item)
    {
        const quorum::log_index on_disk =
            item.disk.base.last_index + static_cast<quorum::log_index>(item.disk.entries.size());
        if (on_disk != item.node->log().last_index() || item.disk.hard.term != item.node->term())
        {
            violate(item, "memory and disk differ between steps");
        }
    }

    std::mt19937_64 m_random;
    double m_now_ms = 0;
    std::vector<node> m_nodes;
    std::vector<quorum::message> m_network;
    std::set<std::pair<quorum::replica_name, quorum::replica_name>> m_cuts;
    std::map<quorum::log_index, committed_entry> m_committed;
    std::map<quorum::term_number, std::pair<quorum::replica_name, quorum::incarnation_id>> m_leaders;
    std::optional<quorum::replica_name> m_lost_name;
    quorum::incarnation_id m_last_incarnation = 0;
    bool m_settling = false;
    bool m_calm = false;
    bool m_keep_cuts = false;
    int m_phase_left = 0;
    std::size_t m_proposed = 0;
    std::size_t m_repairs = 0;
    std::string m_violation;
};

} // namespace flaxtiller::test
