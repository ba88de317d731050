#pragma once

#include "simulated_disk.hpp"

#include <flaxtiller/quorum/membership_planner.hpp>
#include <flaxtiller/quorum/replica.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace flaxtiller::test
{

/// @brief Runs the replicas of one log, whose leader repairs the member set, through losses that overlap
/// while no more disks are lost at once than must be tolerated.
///
/// Processes are killed and return with their disks, disks are lost, replicas are replaced for good, and all
/// lose power at the same moment. A lost disk counts until the replica in its place is a voter. After each
/// loss of all power every process returns, and a leader that has all acknowledged entries must be elected in
/// time. The play depends on its parameters only.
class losses_play
{
  public:
    struct parameters
    {
        std::uint64_t seed = 0;
        int replicas = 6;
        /// The number of disks that may be lost at once.
        std::size_t lost_disks = 2;
        /// The number of lost replicas in the planner's `tolerated_losses`.
        std::size_t planned_for = 2;
        /// The time that a write to a disk takes at most.
        double sync_ms = 1;
        /// The one-way delay between the replicas of two of three regions.
        double delay_ms = 8;
    };

    explicit losses_play(parameters chosen) : m_parameters(chosen), m_random(chosen.seed)
    {
        quorum::snapshot base;
        base.last_index = 1;
        base.last_term = 1;
        for (int i = 0; i < chosen.replicas; ++i)
        {
            simulated_replica& item = add_replica();
            base.members.members[item.name] = {item.name, item.incarnation, true};
        }
        for (simulated_replica& item : m_replicas)
        {
            item.disk.base = base;
            item.disk.hard = {1, {}, 1};
        }
    }

    /// @brief Plays losses up to and including one of all power.
    /// @return what was wrong after it, or an empty string
    std::string play_until_power_is_lost()
    {
        const int losses = draw(1, 10);
        for (int i = 0; i < losses; ++i)
        {
            lose_something();
            run_for(draw(100, 2500));
        }
        lose_all_power();
        const double lost_at = m_now_ms;
        while (!has_complete_leader())
        {
            if (m_now_ms - lost_at > recovery_ms)
            {
                return "no leader with all acknowledged entries after " + describe();
            }
            step();
        }
        m_longest_recovery_ms = std::max(m_longest_recovery_ms, m_now_ms - lost_at);
        return m_violation;
    }

    /// @brief Plays without further losses, for the time in which all that returned must count again.
    /// @return what was wrong, or an empty string
    std::string catch_up()
    {
        run_for(catch_up_ms);
        forget_repaired();
        return m_lost.empty() ? m_violation : "a lost disk isn't replaced: " + describe();
    }

    double longest_recovery_ms() const
    {
        return m_longest_recovery_ms;
    }

    std::size_t acknowledged() const
    {
        return m_committed.size();
    }

  private:
    /// The users' bounds of their deployments of six replicas.
    static constexpr double recovery_ms = 15000;
    static constexpr double catch_up_ms = 6000;
    static constexpr double step_ms = 5;
    static constexpr double planner_interval_ms = 100;
    static constexpr double command_interval_ms = 20;

    struct simulated_replica
    {
        quorum::replica_name name;
        quorum::incarnation_id incarnation = 0;
        quorum::persisted_state disk;
        std::unique_ptr<quorum::replica> process;
        bool gone_for_good = false;
        double returns_at_ms = 0;
        /// Until when the process waits for its disk.
        double busy_until_ms = 0;
    };

    struct transit
    {
        double arrives_at_ms = 0;
        quorum::message message;
    };

    int draw(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }

    time_point now() const
    {
        return time_point(duration::from_ms(100000.0 + m_now_ms));
    }

    static quorum::timing timing_of_deployments()
    {
        quorum::timing limits;
        limits.heartbeat = duration::from_ms(300);
        limits.election_min = duration::from_ms(1000);
        limits.election_max = duration::from_ms(1700);
        limits.early_election_spread = duration::from_ms(300);
        return limits;
    }

    simulated_replica& add_replica()
    {
        simulated_replica fresh;
        fresh.name = quorum::replica_name("c" + std::to_string(m_replicas.size()));
        fresh.incarnation = ++m_last_incarnation;
        m_replicas.push_back(std::move(fresh));
        return m_replicas.back();
    }

    // ------------------------------------------------------------------ losses

    void lose_something()
    {
        const int kind = draw(0, 9);
        simulated_replica& item =
            m_replicas[static_cast<std::size_t>(draw(0, static_cast<int>(m_replicas.size()) - 1))];
        forget_repaired();
        const bool may_lose_disk = m_lost.size() < m_parameters.lost_disks && !counts_as_lost(item.name);
        if (item.gone_for_good)
        {
            return;
        }
        if (kind < 6 || !may_lose_disk)
        {
            kill(item, draw(500, 10000));
        }
        else if (kind < 8)
        {
            lose_disk(item);
        }
        else
        {
            replace(item.name);
        }
    }

    /// @return whether the replica is lost, or takes the place of a lost one and isn't a voter yet
    bool counts_as_lost(const quorum::replica_name& name) const
    {
        return std::any_of(m_lost.begin(), m_lost.end(),
                           [&](const auto& item)
                           {
                               return item.first == name || item.second == name;
                           });
    }

    void kill(simulated_replica& item, double for_ms)
    {
        item.process.reset();
        item.returns_at_ms = std::max(item.returns_at_ms, m_now_ms + for_ms);
    }

    void lose_disk(simulated_replica& item)
    {
        kill(item, draw(500, 3000));
        item.disk = {};
        item.incarnation = ++m_last_incarnation;
        m_lost[item.name] = item.name;
    }

    void replace(quorum::replica_name name)
    {
        simulated_replica& lost = *find(name);
        lost.process.reset();
        lost.gone_for_good = true;
        simulated_replica& successor = add_replica();
        successor.returns_at_ms = m_now_ms + draw(500, 3000);
        m_lost[name] = successor.name;
    }

    void lose_all_power()
    {
        const double dark_ms = draw(300, 1500);
        forget_repaired();
        std::vector<simulated_replica*> intact;
        for (simulated_replica& item : m_replicas)
        {
            if (!item.gone_for_good && !counts_as_lost(item.name))
            {
                intact.push_back(&item);
            }
        }
        std::shuffle(intact.begin(), intact.end(), m_random);
        // The disks of those that ran to the end hold the newest entries.
        std::stable_partition(intact.begin(), intact.end(),
                              [](const simulated_replica* item)
                              {
                                  return item->process == nullptr;
                              });
        for (simulated_replica& item : m_replicas)
        {
            item.process.reset();
            item.returns_at_ms = m_now_ms + dark_ms;
        }
        m_network.clear();
        while (m_lost.size() < m_parameters.lost_disks && !intact.empty())
        {
            lose_disk(*intact.back());
            intact.back()->returns_at_ms = m_now_ms + dark_ms;
            intact.pop_back();
        }
        m_now_ms += dark_ms;
    }

    /// A lost disk no longer counts once the replica in its place is a voter of a committed member set, and
    /// the lost one isn't.
    void forget_repaired()
    {
        const quorum::replica* leader = leader_process();
        if (leader == nullptr || leader->log().members_index() > leader->commit_index())
        {
            return;
        }
        std::erase_if(m_lost,
                      [&](const auto& item)
                      {
                          const simulated_replica& successor = *find(item.second);
                          const bool is_gone =
                              item.first == item.second || leader->members().members.count(item.first) == 0;
                          return is_gone && leader->members().is_voter(successor.name, successor.incarnation);
                      });
    }

    // ------------------------------------------------------------------ time

    void run_for(double ms)
    {
        for (const double until = m_now_ms + ms; m_now_ms < until;)
        {
            step();
        }
    }

    void step()
    {
        m_now_ms += step_ms;
        for (simulated_replica& item : m_replicas)
        {
            if (!item.process && !item.gone_for_good && m_now_ms >= item.returns_at_ms)
            {
                item.process = std::make_unique<quorum::replica>(
                    item.name, item.incarnation, timing_of_deployments(), item.disk, m_random(), now());
                item.busy_until_ms = 0;
            }
        }
        deliver();
        for (simulated_replica& item : m_replicas)
        {
            if (item.process && m_now_ms >= item.busy_until_ms)
            {
                item.process->tick(now());
                lead(item);
                pump(item);
            }
        }
    }

    void lead(simulated_replica& item)
    {
        if (!item.process->is_ready_leader())
        {
            return;
        }
        if (is_due(command_interval_ms))
        {
            item.process->propose("command " + std::to_string(++m_proposed), now());
        }
        if (is_due(planner_interval_ms))
        {
            repair(*item.process);
        }
    }

    bool is_due(double interval_ms) const
    {
        return std::fmod(m_now_ms, interval_ms) < step_ms;
    }

    void repair(quorum::replica& leader)
    {
        quorum::membership_planner::options options;
        options.tolerated.replicas = m_parameters.planned_for;
        std::map<quorum::replica_name, quorum::announcement> announced;
        for (const simulated_replica& item : m_replicas)
        {
            if (item.process)
            {
                announced[item.name] = {item.incarnation, now()};
            }
        }
        const std::map<quorum::replica_name, quorum::replica_place> places;
        const auto change = quorum::membership_planner(options).next(
            {leader.name(), leader.members(), leader.others(), announced, places}, now());
        if (change)
        {
            (void)(change->operation == quorum::member_change::kind::add
                       ? leader.add_member(change->name, change->incarnation, now())
                       : leader.remove_member(change->name, now()));
        }
    }

    // ------------------------------------------------------------------ messages and disks

    void deliver()
    {
        std::vector<transit> waiting;
        for (transit& item : std::exchange(m_network, {}))
        {
            simulated_replica* to = find(item.message.to);
            if (to == nullptr || !to->process)
            {
                continue;
            }
            if (item.arrives_at_ms > m_now_ms || to->busy_until_ms > m_now_ms)
            {
                waiting.push_back(std::move(item));
                continue;
            }
            to->process->receive(item.message, now());
            pump(*to);
        }
        m_network.insert(m_network.begin(), waiting.begin(), waiting.end());
    }

    void pump(simulated_replica& item)
    {
        while (true)
        {
            quorum::output actions = item.process->take_output();
            if (actions.send_now.empty() && actions.send_after_sync.empty() && actions.committed.empty() &&
                !actions.must_sync())
            {
                return;
            }
            send(actions.send_now, 0);
            double sync_ms = 0;
            if (actions.must_sync())
            {
                write_to(item.disk, actions);
                item.process->on_synced();
                sync_ms = std::uniform_real_distribution<double>(0, m_parameters.sync_ms)(m_random);
                item.busy_until_ms = std::max(item.busy_until_ms, m_now_ms) + sync_ms;
            }
            send(actions.send_after_sync, sync_ms);
            record_committed(item, actions);
        }
    }

    void send(const std::vector<quorum::message>& messages, double after_ms)
    {
        for (const quorum::message& item : messages)
        {
            const double delay = region_of(item.from) == region_of(item.to) ? 1 : m_parameters.delay_ms;
            m_network.push_back({m_now_ms + after_ms + delay, item});
        }
    }

    static int region_of(const quorum::replica_name& name)
    {
        constexpr int regions = 3;
        return std::stoi(name.str().substr(1)) % regions;
    }

    void record_committed(const simulated_replica& item, const quorum::output& actions)
    {
        for (const quorum::log_entry& entry : actions.committed)
        {
            const auto [known, fresh] = m_committed.emplace(entry.index, entry.command);
            if (!fresh && known->second != entry.command)
            {
                m_violation =
                    "acknowledged entry " + std::to_string(entry.index) + " replaced at " + item.name.str();
            }
        }
    }

    // ------------------------------------------------------------------ inspection

    simulated_replica* find(const quorum::replica_name& name)
    {
        const auto found = std::find_if(m_replicas.begin(), m_replicas.end(),
                                        [&](const simulated_replica& item)
                                        {
                                            return item.name == name;
                                        });
        return found == m_replicas.end() ? nullptr : &*found;
    }

    const quorum::replica* leader_process() const
    {
        for (const simulated_replica& item : m_replicas)
        {
            if (item.process && item.process->has_lease(now()))
            {
                return item.process.get();
            }
        }
        return nullptr;
    }

    bool has_complete_leader() const
    {
        const quorum::replica* leader = leader_process();
        return leader != nullptr &&
               (m_committed.empty() || leader->commit_index() >= m_committed.rbegin()->first);
    }

    std::string describe() const
    {
        std::string text = std::to_string(m_now_ms) + " ms";
        for (const simulated_replica& item : m_replicas)
        {
            text += "\n  " + item.name.str() + "/" + std::to_string(item.incarnation) +
                    (item.gone_for_good ? " gone" : "");
            if (!item.process)
            {
                continue;
            }
            const quorum::election_status status = item.process->election();
            text += " role " + std::to_string(static_cast<int>(item.process->role())) + " term " +
                    std::to_string(item.process->term()) + " last " +
                    std::to_string(item.process->log().last_index()) + " granted " +
                    std::to_string(status.granted.size()) + " of " + std::to_string(status.voters) + ":";
            for (const auto& [name, member] : item.process->members().members)
            {
                text +=
                    " " + name.str() + "/" + std::to_string(member.incarnation) + (member.voter ? "v" : "l");
            }
        }
        return text;
    }

    parameters m_parameters;
    std::mt19937_64 m_random;
    double m_now_ms = 0;
    std::vector<simulated_replica> m_replicas;
    std::vector<transit> m_network;
    std::map<quorum::log_index, std::string> m_committed;
    /// The lost replicas and those in their places, which are the same ones with new disks, or new ones.
    std::map<quorum::replica_name, quorum::replica_name> m_lost;
    quorum::incarnation_id m_last_incarnation = 0;
    std::size_t m_proposed = 0;
    double m_longest_recovery_ms = 0;
    std::string m_violation;
};

} // namespace flaxtiller::test
