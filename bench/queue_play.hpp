#pragma once

#include "event_queue.hpp"

#include <flaxtiller/dispatch/scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace flaxtiller::bench
{

/// @brief A stream of requests to one shard.
struct request_stream
{
    std::string team;
    int priority = 0;
    /// The mean rate of the arrivals, which are a Poisson process.
    double per_s = 0.0;
    /// The mean time in a slot.
    double work_ms = 0.0;
    double objective_ms = 0.0;
    double deadline_ms = 0.0;
};

/// @brief What became of the requests of a stream that arrived in the measured time.
struct stream_result
{
    int arrived = 0;
    int served = 0;
    int in_objective = 0;
    /// The longest time between the starts of two requests, in milliseconds.
    double longest_gap_ms = 0.0;

    double served_share() const
    {
        return arrived == 0 ? 1.0 : static_cast<double>(served) / arrived;
    }

    double in_objective_share() const
    {
        return arrived == 0 ? 1.0 : static_cast<double>(in_objective) / arrived;
    }
};

/// @brief Simulates the scheduler of a service with one shard in virtual time, under streams of requests.
class queue_play
{
  public:
    static constexpr int servers = 3;
    static constexpr int slots = 2;
    /// The time in a slot of a request of size 1.
    static constexpr double unit_ms = 5.0;
    /// Times in a slot differ from the mean by up to this share.
    static constexpr double jitter = 0.2;

    queue_play(std::vector<request_stream> streams, bool by_priority, std::uint64_t seed)
        : results(streams.size()), m_streams(std::move(streams)), m_random(seed),
          m_scheduler(options_of(by_priority)), m_last_start(m_streams.size())
    {
        m_scheduler.configure(service(), 1, m_clock.now());
    }

    /// @return the slot time that all backend servers have, in milliseconds per second
    static constexpr double capacity_ms_per_s()
    {
        return servers * slots * 1000.0;
    }

    /// @brief Runs the play for a time and counts the requests that arrive after @a from_s seconds.
    void run(double from_s, double seconds)
    {
        m_from = time_point() + duration::from_ms(from_s * 1000.0);
        m_until = time_point() + duration::from_ms(seconds * 1000.0);
        std::fill(m_last_start.begin(), m_last_start.end(), m_from);
        for (std::size_t at = 0; at < m_streams.size(); ++at)
        {
            schedule_arrival(at);
        }
        while (m_clock.step())
        {
        }
        for (std::size_t at = 0; at < results.size(); ++at)
        {
            double& gap = results[at].longest_gap_ms;
            gap = std::max(gap, (m_until - m_last_start[at]).ms());
        }
    }

    std::vector<stream_result> results;
    /// The events after which a slot was free although work waited.
    int idle_slots = 0;
    /// The starts of work past its objective while work that could meet its objective waited.
    int late_before_on_time = 0;

  private:
    struct request
    {
        std::size_t stream = 0;
        time_point arrived_at;
        bool is_counted = false;
    };

    static dispatch::scheduler_options options_of(bool by_priority)
    {
        dispatch::scheduler_options options;
        options.orders_by_priority = by_priority;
        // Only the order is examined: no hedges, and no work in the queue of a backend server.
        options.initial_overdue_after = duration::from_ms(100000);
        options.min_overdue_after = duration::from_ms(100000);
        options.max_pipelined = 0;
        return options;
    }

    static placed_service service()
    {
        placed_service placed;
        placed.definition.shards = 1;
        placed.shards.resize(1);
        for (int i = 0; i < servers; ++i)
        {
            backend_server server;
            server.name = backend_server_name("server-" + std::to_string(i));
            server.slots = slots;
            placed.shards[0].push_back(std::move(server));
        }
        return placed;
    }

    /// @return a random number above 0 and at most 1
    double random_share()
    {
        constexpr double bits = 9007199254740992.0;
        return (static_cast<double>(m_random() >> 11) + 1.0) / bits;
    }

    void schedule_arrival(std::size_t at)
    {
        const double wait_ms = -std::log(random_share()) * 1000.0 / m_streams[at].per_s;
        const time_point when = m_clock.now() + duration::from_ms(wait_ms);
        if (when < m_until)
        {
            m_clock.at(when,
                       [this, at]
                       {
                           arrive(at);
                           schedule_arrival(at);
                       });
        }
    }

    void arrive(std::size_t at)
    {
        const request_stream& stream = m_streams[at];
        const time_point now = m_clock.now();
        dispatch::subquery added;
        added.id = m_next++;
        added.priority = stream.priority;
        added.team = team_name(stream.team);
        added.size = stream.work_ms / unit_ms;
        added.objective_at = now + duration::from_ms(stream.objective_ms);
        added.deadline = now + duration::from_ms(stream.deadline_ms);
        m_requests.emplace(added.id, request{at, now, now >= m_from});
        results[at].arrived += now >= m_from ? 1 : 0;
        m_scheduler.submit(added, now);
        take_actions();
    }

    void take_actions()
    {
        const time_point now = m_clock.now();
        bool started_late = false;
        for (const dispatch::action& taken : m_scheduler.take_actions())
        {
            if (const auto* begun = std::get_if<dispatch::start_attempt>(&taken))
            {
                const request& item = m_requests.at(begun->subquery);
                const request_stream& stream = m_streams[item.stream];
                const double needed_ms = m_scheduler.median_latency().ms() * stream.work_ms / unit_ms;
                const duration left = item.arrived_at + duration::from_ms(stream.objective_ms) - now;
                // The queue uses the median at the time when the request was queued.
                started_late = started_late || left.ms() < needed_ms * (1.0 - jitter);
                observe_start(item, now);
                const double took_ms = stream.work_ms * (1.0 + jitter * (2.0 * random_share() - 1.0));
                m_clock.after(duration::from_ms(took_ms),
                              [this, attempt = begun->attempt]
                              {
                                  end(attempt);
                              });
            }
            else if (const auto* ended = std::get_if<dispatch::finish_subquery>(&taken))
            {
                finish(*ended, now);
            }
        }
        dispatch::waiting_counts waiting;
        m_scheduler.add_waiting_work(waiting);
        const bool any_on_time = std::any_of(waiting.begin(), waiting.end(),
                                             [](const auto& item)
                                             {
                                                 return item.second.on_time > 0;
                                             });
        late_before_on_time += started_late && any_on_time ? 1 : 0;
        idle_slots += !waiting.empty() && m_scheduler.running() < servers * slots ? 1 : 0;
        // Timers, so that work is dropped at its deadline.
        const time_point due = m_scheduler.next_time();
        if (due != time_point::never() && due < m_timer_at)
        {
            m_timer_at = due;
            m_clock.at(std::max(due, now),
                       [this]
                       {
                           m_timer_at = time_point::never();
                           m_scheduler.on_time(m_clock.now());
                           take_actions();
                       });
        }
    }

    void observe_start(const request& item, time_point now)
    {
        if (now >= m_from && now < m_until)
        {
            time_point& last = m_last_start[item.stream];
            double& gap = results[item.stream].longest_gap_ms;
            gap = std::max(gap, (now - last).ms());
            last = now;
        }
    }

    void end(dispatch::attempt_id attempt)
    {
        dispatch::attempt_result result;
        result.status = dispatch::attempt_status::answered;
        m_scheduler.on_result(attempt, result, m_clock.now());
        take_actions();
    }

    void finish(const dispatch::finish_subquery& ended, time_point now)
    {
        const auto found = m_requests.find(ended.subquery);
        const request item = found->second;
        m_requests.erase(found);
        if (item.is_counted && ended.result.outcome == outcome::run)
        {
            const request_stream& stream = m_streams[item.stream];
            ++results[item.stream].served;
            results[item.stream].in_objective += (now - item.arrived_at).ms() <= stream.objective_ms ? 1 : 0;
        }
    }

    std::vector<request_stream> m_streams;
    std::mt19937_64 m_random;
    event_queue m_clock;
    dispatch::scheduler m_scheduler;
    std::map<dispatch::subquery_id, request> m_requests;
    std::vector<time_point> m_last_start;
    dispatch::subquery_id m_next = 1;
    time_point m_from;
    time_point m_until;
    time_point m_timer_at = time_point::never();
};

} // namespace flaxtiller::bench
