#pragma once

#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace flaxtiller::test
{

/// @brief Simulates, in virtual time, an entry with a processor of limited speed, the backend servers of a
/// fan-out, and callers.
class admission_play
{
  public:
    static constexpr int shards = 90;
    static constexpr int replicas = 3;
    static constexpr int slots = 2;
    static constexpr double mean_work_ms = 50.0;
    /// The fan-outs per second that the slots can serve.
    static constexpr double capacity_per_s = replicas * slots * 1000.0 / mean_work_ms;
    /// The processor time of an arrival, and of each other event and action; a quarter of the processor at
    /// capacity.
    static constexpr double arrival_ms = 0.08;
    static constexpr double action_ms = 0.0115;

    struct record
    {
        time_point arrived;
        time_point ended = time_point::never();
        routed_end end = routed_end::failed;
        duration retry_after{};
        bool is_return = false;
    };

    explicit admission_play(router_options options, std::uint64_t seed = 1)
        : m_seed(seed), m_random(seed), m_router(options)
    {
        fan_out.name = "all";
        fan_out.host = "h";
        fan_out.path_prefix = "/all/";
        fan_out.objective = duration::from_ms(200);
        fan_out.timeout = duration::from_ms(1500);
        fan_out.least_share = 0.95;
        auto placed = std::make_shared<placement>();
        for (int shard = 0; shard < shards; ++shard)
        {
            placed_service item;
            item.definition.name = service_name("s" + std::to_string(shard));
            item.shards.resize(1);
            for (int i = 0; i < replicas; ++i)
            {
                backend_server server;
                server.name = backend_server_name(item.definition.name.str() + "-" + std::to_string(i));
                server.slots = slots;
                server.connection_limit = 30;
                item.shards[0].push_back(server);
            }
            fan_out.fan_out.push_back(item.definition.name);
            placed->services.emplace(item.definition.name, item);
        }
        routing_view view;
        view.placed = placed;
        view.routes = std::make_shared<const route_table>(std::map<std::string, route>{{"all", fan_out}});
        m_router.configure(view, {});
    }

    /// Adds arrivals at random times with a mean rate.
    void add_arrivals(double from_ms, double until_ms, double per_s)
    {
        std::exponential_distribution<double> gap_ms(per_s / 1000.0);
        for (double at = from_ms + gap_ms(m_random); at < until_ms; at += gap_ms(m_random))
        {
            add_arrival(time_point(duration::from_ms(at)), false);
        }
    }

    void add_arrival(time_point at, bool is_return)
    {
        m_events.emplace(at,
                         [this, at, is_return](time_point now)
                         {
                             auto request = std::make_shared<routed_request>();
                             request->host = "h";
                             request->target = "/all/";
                             request->patience = patience;
                             records.push_back({at, time_point::never(), routed_end::failed, {}, is_return});
                             m_router.arrive(records.size() - 1, request, now);
                             return arrival_ms;
                         });
    }

    void run_until(double until_ms)
    {
        const time_point until(duration::from_ms(until_ms));
        while (true)
        {
            const time_point event_due = m_events.empty() ? time_point::never() : m_events.begin()->first;
            const time_point timer_due = m_timer_expiry;
            const time_point due = std::min(event_due, timer_due);
            if (due > until)
            {
                return;
            }
            const time_point now = std::max(due, m_free_at);
            double used_ms = action_ms;
            if (timer_due <= event_due)
            {
                m_timer_expiry = time_point::never();
                m_router.observe_processing_delay(now - due, now);
                m_router.on_time(now);
            }
            else
            {
                const auto handle = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                used_ms = handle(now);
            }
            process_actions(now, used_ms);
            schedule_timer(now);
        }
    }

    /// @return the time that a request's work takes on a shard, in milliseconds; the same for each attempt
    double work_ms(request_number number, std::size_t shard) const
    {
        std::mt19937_64 random(m_seed * 1'000'003 + number * 1009 + shard);
        return mean_work_ms * std::uniform_real_distribution<double>(0.5, 1.5)(random);
    }

    bool is_on_time(const record& item) const
    {
        return item.end == routed_end::merged && item.ended - item.arrived <= fan_out.objective;
    }

    const router& tested() const
    {
        return m_router;
    }

    route fan_out;
    duration patience = duration::from_ms(3000);
    /// The speed of the processor, by the time from which it applies.
    std::map<time_point, double> speed{{time_point(), 1.0}};
    /// Whether refused callers return once, at their retry time.
    bool callers_return = false;
    std::vector<record> records;

  private:
    /// Like the routing frontend, which leaves a timer set that is no longer needed.
    void schedule_timer(time_point now)
    {
        const time_point next = m_router.next_time();
        if (next >= m_timer_expiry && m_timer_expiry > now)
        {
            return;
        }
        m_timer_expiry = next;
    }

    void process_actions(time_point now, double used_ms)
    {
        const std::vector<router_action> actions = m_router.take_actions();
        const double all_ms = used_ms + action_ms * static_cast<double>(actions.size());
        m_free_at = now + duration::from_ms(all_ms / std::prev(speed.upper_bound(now))->second);
        for (const router_action& action : actions)
        {
            if (const auto* start = std::get_if<start_routed_attempt>(&action))
            {
                run(*start);
            }
            else if (const auto* answer = std::get_if<answer_request>(&action))
            {
                end(records.at(answer->request), answer->outcome);
            }
        }
    }

    void run(const start_routed_attempt& started)
    {
        const auto shard = static_cast<std::size_t>(std::stoi(started.service.str().substr(1)));
        auto& slot_free_at = m_servers[started.server];
        time_point& slot = *std::min_element(slot_free_at.begin(), slot_free_at.end());
        slot = std::max(slot, m_free_at) + duration::from_ms(work_ms(started.request, shard));
        m_events.emplace(slot,
                         [this, attempt = started.attempt](time_point now)
                         {
                             auto answer = std::make_shared<backend_answer>();
                             answer->status = 200;
                             answer->signature = "s";
                             dispatch::attempt_result result;
                             result.status = dispatch::attempt_status::answered;
                             m_router.attempt_ended(attempt, result, answer, now);
                             return action_ms;
                         });
    }

    void end(record& item, const routed_outcome& outcome)
    {
        item.ended = m_free_at;
        item.end = outcome.end;
        item.retry_after = outcome.retry_after;
        if (callers_return && !item.is_return && outcome.end == routed_end::refused)
        {
            add_arrival(m_free_at + outcome.retry_after, true);
        }
    }

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    router m_router;
    std::multimap<time_point, std::function<double(time_point)>> m_events;
    /// By backend server: the time at which each slot is free.
    std::map<backend_server_name, std::array<time_point, slots>> m_servers;
    time_point m_free_at;
    time_point m_timer_expiry = time_point::never();
};

} // namespace flaxtiller::test
