#pragma once

#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/registration/registry.hpp>
#include <flaxtiller/registration/replicated_registry.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace flaxtiller::test
{

/// @brief What a @ref registration_play consists of.
struct registration_play_size
{
    int replicas = 6;
    int entries = 79;
    int servers = 690;
};

/// @brief Control replicas, the entries that follow them, and backend servers that send heartbeats, in
/// virtual time. Messages of a link arrive in their order, after the one-way latency of the link. A copy
/// simulates the same processes from the same time on, without an effect on the original.
class registration_play
{
  public:
    static constexpr duration heartbeat_interval = duration::from_ms(1200);
    static constexpr duration report_interval = duration::from_ms(1000);
    static constexpr duration tick_interval = duration::from_ms(10);
    static constexpr duration silence = duration::from_ms(12000);
    static constexpr double max_link_delay_ms = 8.0;
    static constexpr double max_start_spread_ms = 300.0;

    registration_play(registration_play_size size, std::uint64_t seed, digest_timing timing = {})
        : m_size(size), m_random(seed)
    {
        std::set<std::string> names;
        for (int i = 0; i < size.replicas; ++i)
        {
            names.insert(replica_name(i));
        }
        for (int i = 0; i < size.replicas; ++i)
        {
            const time_point start = drawn_time(max_start_spread_ms);
            m_replicas.push_back({replicated_registry(silence, start, timing), start});
            std::set<std::string> others = names;
            others.erase(replica_name(i));
            m_replicas.back().state.set_replicas(std::move(others));
        }
        for (int i = 0; i < size.entries; ++i)
        {
            m_entries.push_back({registry(), drawn_time(report_interval.ms()), i % size.replicas});
        }
        for (int i = 0; i < size.servers; ++i)
        {
            m_servers.push_back({drawn_time(heartbeat_interval.ms()), draw(size.replicas)});
        }
        for (int i = 0; i < size.replicas; ++i)
        {
            connect_all(i);
        }
    }

    time_point now() const noexcept
    {
        return m_now;
    }

    /// Runs until @a end.
    void run_until(time_point end)
    {
        while (m_now < end)
        {
            m_now = m_now + duration::from_ms(1.0);
            deliver();
            send_heartbeats();
            tick_replicas();
            report_entries();
        }
    }

    /// Runs until each entry knows of each confirmed backend server that leaves, but at most for @a limit.
    void run_until_known(duration limit)
    {
        const time_point end = m_now + limit;
        while (m_now < end && (m_now < m_confirmations_end || lateness_of(limit).unknown_pairs > 0))
        {
            run_until(m_now + duration::from_ms(20));
        }
    }

    /// The first @a count backend servers announce now that they leave.
    void leave(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            m_servers[static_cast<std::size_t>(i)].state = registration_state::draining;
            send_heartbeat(i);
        }
        m_confirmations_end = m_now + duration::from_ms(max_link_delay_ms);
    }

    /// Loses what @a from sends to @a to from now on, although their link holds, or no longer does.
    void set_muted(const std::string& from, const std::string& to, bool muted)
    {
        if (muted)
        {
            m_down.insert({from, to});
        }
        else
        {
            m_down.erase({from, to});
        }
    }

    /// Loses the link between two processes, with what is in transit on it.
    void lose_link(const std::string& a, const std::string& b)
    {
        m_down.insert({a, b});
        m_down.insert({b, a});
        std::erase_if(m_in_transit,
                      [&](const auto& item)
                      {
                          return is_between(item.second, a, b);
                      });
        change_link(a, b, false);
        change_link(b, a, false);
    }

    /// Establishes the link between two processes again.
    void restore_link(const std::string& a, const std::string& b)
    {
        m_down.erase({a, b});
        m_down.erase({b, a});
        change_link(a, b, true);
        change_link(b, a, true);
        m_links_whole_since = m_now;
    }

    /// Ends a replica with all that it sent, or was sent, and that hasn't arrived. Its backend servers ask
    /// another one with their next heartbeats.
    void end_replica(int number)
    {
        const std::string name = replica_name(number);
        m_ended.insert(number);
        std::erase_if(m_in_transit,
                      [&](const auto& item)
                      {
                          return item.second.from == name || item.second.to == name;
                      });
        for (server& item : m_servers)
        {
            item.asked = item.asked == number ? successor_of(number) : item.asked;
        }
    }

    /// The other processes notice that the replica ended, and its entries follow another one.
    void notice_end(int number)
    {
        const std::string name = replica_name(number);
        for (int i = 0; i < m_size.replicas; ++i)
        {
            if (m_ended.count(i) == 0)
            {
                change_link(replica_name(i), name, false);
            }
        }
        for (entry& item : m_entries)
        {
            item.followed = item.followed == number ? successor_of(number) : item.followed;
        }
    }

    /// @brief How long after the confirmation the entries learned that a backend server leaves.
    struct lateness
    {
        /// The pairs of an entry and a backend server that were late.
        int late_pairs = 0;
        /// Those that don't know by now.
        int unknown_pairs = 0;
        duration worst{};
    };

    /// @param bound what counts as late, from the confirmation or the time at which the last lost link was
    /// restored
    lateness lateness_of(duration bound) const
    {
        lateness found;
        for (const entry& item : m_entries)
        {
            for (const auto& [id, confirmed_at] : m_confirmed_at)
            {
                const auto learned = item.learned_at.find(id);
                const bool known = learned != item.learned_at.end();
                const duration took =
                    (known ? learned->second : m_now) - std::max(confirmed_at, m_links_whole_since);
                found.worst = std::max(found.worst, took);
                found.late_pairs += took > bound ? 1 : 0;
                found.unknown_pairs += known ? 0 : 1;
            }
        }
        return found;
    }

    /// @return whether all processes have the same present backend servers
    bool all_agree() const
    {
        const std::uint64_t digest = m_replicas.front().state.known().digest();
        return std::all_of(m_replicas.begin(), m_replicas.end(),
                           [&](const replica& item)
                           {
                               return item.state.known().digest() == digest;
                           }) &&
               std::all_of(m_entries.begin(), m_entries.end(),
                           [&](const entry& item)
                           {
                               return item.known.digest() == digest;
                           });
    }

    static std::string replica_name(int number)
    {
        return "r-" + std::to_string(number);
    }

    static std::string entry_name(int number)
    {
        return "e-" + std::to_string(number);
    }

  private:
    struct replica
    {
        replicated_registry state;
        time_point next_tick_at{};
    };

    struct entry
    {
        registry known;
        time_point next_report_at{};
        int followed = 0;
        std::map<backend_server_name, time_point> learned_at{};
    };

    struct server
    {
        time_point next_heartbeat_at{};
        int asked = 0;
        std::int64_t sequence = 0;
        registration_state state = registration_state::ready;
    };

    /// What is on its way; a registration by itself is a heartbeat.
    using content_type =
        std::variant<registration_update, registration_heard, registration_digest, registration>;

    struct delivery
    {
        std::string from;
        std::string to;
        content_type content;
    };

    static backend_server_name server_name(int number)
    {
        return backend_server_name("i-" + std::to_string(number));
    }

    static int number_in(const std::string& name)
    {
        return std::stoi(name.substr(2));
    }

    static bool is_replica(const std::string& name)
    {
        return name.front() == 'r';
    }

    static bool is_between(const delivery& item, const std::string& a, const std::string& b)
    {
        return (item.from == a && item.to == b) || (item.from == b && item.to == a);
    }

    int successor_of(int number) const
    {
        return (number + 1) % m_size.replicas;
    }

    bool has_ended(const std::string& name) const
    {
        return is_replica(name) && m_ended.count(number_in(name)) > 0;
    }

    int draw(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(m_random);
    }

    time_point drawn_time(double below_ms)
    {
        return time_point(duration::from_ms(std::uniform_real_distribution<double>(0.0, below_ms)(m_random)));
    }

    replica& replica_of(const std::string& name)
    {
        return m_replicas[static_cast<std::size_t>(number_in(name))];
    }

    void connect_all(int number)
    {
        replica& item = m_replicas[static_cast<std::size_t>(number)];
        for (int i = 0; i < m_size.replicas; ++i)
        {
            if (i != number)
            {
                item.state.on_reachable(replica_name(i), true, m_now);
            }
        }
        for (int i = 0; i < m_size.entries; ++i)
        {
            item.state.on_reachable(entry_name(i), false, m_now);
        }
    }

    void change_link(const std::string& at, const std::string& peer, bool up)
    {
        if (!is_replica(at))
        {
            return;
        }
        replica& item = replica_of(at);
        if (up)
        {
            item.state.on_reachable(peer, is_replica(peer), m_now);
        }
        else
        {
            item.state.on_lost(peer, m_now);
        }
        send_messages(at, item);
    }

    /// @return the delay of a link, the same in both directions
    static duration delay_of(const std::string& a, const std::string& b)
    {
        const std::uint64_t hash = hash64(std::min(a, b) + "," + std::max(a, b), 0);
        constexpr std::uint64_t steps = 8;
        return duration::from_ms(1.0 + static_cast<double>(hash % steps) * (max_link_delay_ms - 1.0) /
                                           static_cast<double>(steps - 1));
    }

    void send(const std::string& from, const std::string& to, content_type content)
    {
        if (m_down.count({from, to}) > 0 || has_ended(to))
        {
            return;
        }
        time_point& last = m_last_arrival[{from, to}];
        last = std::max(last, m_now + delay_of(from, to));
        m_in_transit.emplace(last, delivery{from, to, std::move(content)});
    }

    void send_messages(const std::string& from, replica& item)
    {
        (void)item.state.take_changes();
        for (const replicated_registry::outgoing& message : item.state.take_messages())
        {
            for (const std::string& to : message.to)
            {
                std::visit(
                    [&](const auto& content)
                    {
                        send(from, to, content);
                    },
                    message.content);
            }
        }
    }

    void send_heartbeat(int number)
    {
        server& item = m_servers[static_cast<std::size_t>(number)];
        item.next_heartbeat_at = m_now + heartbeat_interval;
        registration heartbeat;
        heartbeat.id = server_name(number);
        heartbeat.service = service_name("s-" + std::to_string(number % 100));
        heartbeat.address = "10.0.0.1:80";
        heartbeat.state = item.state;
        heartbeat.sequence = ++item.sequence;
        send("i-" + std::to_string(number), replica_name(item.asked), heartbeat);
    }

    void send_heartbeats()
    {
        for (int i = 0; i < m_size.servers; ++i)
        {
            if (m_now >= m_servers[static_cast<std::size_t>(i)].next_heartbeat_at)
            {
                send_heartbeat(i);
            }
        }
    }

    void tick_replicas()
    {
        for (int i = 0; i < m_size.replicas; ++i)
        {
            replica& item = m_replicas[static_cast<std::size_t>(i)];
            if (m_now >= item.next_tick_at && m_ended.count(i) == 0)
            {
                item.next_tick_at = m_now + tick_interval;
                item.state.tick(i == 0, m_now);
                send_messages(replica_name(i), item);
            }
        }
    }

    void report_entries()
    {
        for (int i = 0; i < m_size.entries; ++i)
        {
            entry& item = m_entries[static_cast<std::size_t>(i)];
            if (m_now >= item.next_report_at)
            {
                item.next_report_at = m_now + report_interval;
                send(entry_name(i), replica_name(item.followed), registration_digest{item.known.digest()});
            }
        }
    }

    void deliver()
    {
        while (!m_in_transit.empty() && m_in_transit.begin()->first <= m_now)
        {
            const delivery arrived = std::move(m_in_transit.begin()->second);
            m_in_transit.erase(m_in_transit.begin());
            if (is_replica(arrived.to))
            {
                receive(replica_of(arrived.to), arrived);
            }
            else
            {
                receive(m_entries[static_cast<std::size_t>(number_in(arrived.to))],
                        std::get<registration_update>(arrived.content));
            }
        }
    }

    void receive(replica& item, const delivery& arrived)
    {
        if (const auto* heartbeat = std::get_if<registration>(&arrived.content))
        {
            item.state.on_heartbeat(*heartbeat, m_now);
            if (heartbeat->state == registration_state::draining)
            {
                m_confirmed_at.emplace(heartbeat->id, m_now);
            }
        }
        else if (const auto* update = std::get_if<registration_update>(&arrived.content))
        {
            (void)item.state.on_update(arrived.from, *update, m_now);
        }
        else if (const auto* receipts = std::get_if<registration_heard>(&arrived.content))
        {
            (void)item.state.on_heartbeat_receipts(arrived.from, receipts->items, m_now);
        }
        else
        {
            (void)item.state.on_digest(arrived.from, std::get<registration_digest>(arrived.content).digest,
                                       m_now);
        }
        send_messages(arrived.to, item);
    }

    void receive(entry& item, const registration_update& update)
    {
        for (const registration& report : update.items)
        {
            (void)item.known.merge(report, m_now);
        }
        if (update.whole)
        {
            (void)item.known.mark_unlisted_lost(update.items, m_now);
        }
        for (const registration& change : item.known.take_changes())
        {
            if (change.state != registration_state::ready)
            {
                item.learned_at.emplace(change.id, m_now);
            }
        }
    }

    registration_play_size m_size;
    std::mt19937_64 m_random;
    time_point m_now{};
    std::vector<replica> m_replicas;
    std::vector<entry> m_entries;
    std::vector<server> m_servers;
    std::multimap<time_point, delivery> m_in_transit;
    std::map<std::pair<std::string, std::string>, time_point> m_last_arrival;
    std::set<std::pair<std::string, std::string>> m_down;
    /// When a replica received the first heartbeat that says `draining`, which confirms it.
    std::map<backend_server_name, time_point> m_confirmed_at;
    /// When the last lost link was restored.
    time_point m_links_whole_since{};
    std::set<int> m_ended;
    /// Until when confirmations are under way.
    time_point m_confirmations_end{};
};

} // namespace flaxtiller::test
