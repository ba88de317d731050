#pragma once

#include "event_queue.hpp"

#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace flaxtiller::bench
{

/// @brief A backend server that all entries send to: slots, a short queue, and a refusal beyond.
class shared_replica
{
  public:
    using reply = std::function<void(dispatch::attempt_status)>;

    static constexpr std::size_t slots = 2;
    static constexpr std::size_t queue_length = 12;

    shared_replica(event_queue& events, std::mt19937_64& random) : m_events(events), m_random(random)
    {
    }

    /// How many times as long its work takes.
    double factor = 1.0;
    /// The share of attempts that it refuses at once, whether it has room or not.
    double refuses = 0.0;
    /// Whether connections to it can be made.
    bool reachable = true;

    void run(double work_ms, reply done)
    {
        if (!reachable)
        {
            done(dispatch::attempt_status::unreachable);
            return;
        }
        if (std::bernoulli_distribution(refuses)(m_random) || m_waiting.size() >= queue_length)
        {
            done(dispatch::attempt_status::shed);
            return;
        }
        m_waiting.push_back({work_ms * factor, std::move(done)});
        begin_next();
    }

  private:
    struct work
    {
        double ms;
        reply done;
    };

    void begin_next()
    {
        if (m_running >= slots || m_waiting.empty())
        {
            return;
        }
        ++m_running;
        work next = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_events.after(duration::from_ms(next.ms),
                       [this, done = std::move(next.done)]
                       {
                           --m_running;
                           done(dispatch::attempt_status::answered);
                           begin_next();
                       });
    }

    event_queue& m_events;
    std::mt19937_64& m_random;
    std::deque<work> m_waiting;
    std::size_t m_running = 0;
};

/// @brief What callers of one route got.
struct route_tally
{
    int asked = 0;
    int late = 0;
    int failed = 0;
    /// The sum of the squared shares of shards that answers in time covered.
    double worth = 0.0;

    double worth_share() const
    {
        return asked > 0 ? worth / asked : 0.0;
    }
};

/// @brief Entries, each with a router of its own, whose fan-outs share pairs of replicas; in virtual time.
///
/// Two routes go to the same shards: `wide` asks for about three times the work of `urgent`, which is due
/// twice as soon. A caller whose request failed, or was refused, comes back once.
class shared_replicas
{
  public:
    static constexpr int entries = 11;
    static constexpr int shards = 20;
    static constexpr int replicas = 2;
    static constexpr double wide_work_ms = 20.0;
    static constexpr double urgent_work_ms = 6.7;
    static constexpr double wide_share = 0.75;
    static constexpr double wide_objective_ms = 200.0;
    static constexpr double urgent_objective_ms = 100.0;
    static constexpr double patience_ms = 3000.0;

    /// @param rate fan-outs a second over all entries
    shared_replicas(std::uint64_t seed, double rate, router_options options = usual_options())
        : m_random(seed), m_rate_per_ms(rate / 1000.0)
    {
        for (int i = 0; i < shards * replicas; ++i)
        {
            m_replicas.push_back(std::make_unique<shared_replica>(m_events, m_random));
        }
        const routing_view view = make_view();
        for (int i = 0; i < entries; ++i)
        {
            m_entries.push_back(std::make_unique<entry>(options));
            m_entries.back()->decisions.configure(view, m_events.now());
        }
    }

    /// What operators of such a deployment allow.
    static router_options usual_options()
    {
        router_options options;
        options.retry_ratio = 0.2;
        options.retry_slack = 60.0;
        options.scheduling.overdue_quantile = 0.945;
        options.scheduling.charge_refusals = true;
        return options;
    }

    /// @return replica @a which of shard @a at
    shared_replica& replica(int at, int which)
    {
        return *m_replicas.at(static_cast<std::size_t>(at * replicas + which));
    }

    /// @brief Lets callers ask for this long.
    void play(double ms)
    {
        const time_point until = m_events.now() + duration::from_ms(ms);
        std::exponential_distribution<double> gap(m_rate_per_ms);
        time_point next = m_events.now() + duration::from_ms(gap(m_random));
        while (next <= until)
        {
            m_events.at(next,
                        [this]
                        {
                            arrive();
                        });
            next = next + duration::from_ms(gap(m_random));
        }
        m_events.at(until, [] {});
        while (m_events.now() < until && m_events.step())
        {
        }
    }

    /// @brief From now on only callers that come from now on count.
    void start_counting()
    {
        m_tallies.clear();
        m_counted_from = m_events.now();
    }

    const route_tally& tally(const std::string& route)
    {
        return m_tallies[route];
    }

  private:
    struct caller
    {
        std::string route;
        time_point first_at;
        bool came_back = false;
    };

    struct entry
    {
        explicit entry(const router_options& options) : decisions(options)
        {
        }

        router decisions;
        std::map<request_number, caller> callers;
        time_point timer_at = time_point::never();
    };

    static constexpr double way_ms = 1.0;

    static route make_route(const std::string& name, double objective_ms, double least_share)
    {
        route item;
        item.name = name;
        item.host = "h";
        item.path_prefix = "/" + name + "/";
        item.timeout = duration::from_ms(patience_ms);
        item.objective = duration::from_ms(objective_ms);
        item.least_share = least_share;
        item.top_records = 5;
        item.most_attempts = 2;
        for (int i = 0; i < shards; ++i)
        {
            item.fan_out.emplace_back("s" + std::to_string(i));
        }
        return item;
    }

    static routing_view make_view()
    {
        auto placed = std::make_shared<placement>();
        placed->revision = 1;
        for (int i = 0; i < shards; ++i)
        {
            placed_service item;
            item.definition.name = service_name("s" + std::to_string(i));
            item.shards.resize(1);
            for (int k = 0; k < replicas; ++k)
            {
                backend_server server;
                server.name = backend_server_name(std::to_string(i * replicas + k));
                server.slots = static_cast<int>(shared_replica::slots);
                server.connection_limit = 28;
                server.availability_zone = "z";
                item.shards[0].push_back(server);
            }
            placed->services.emplace(item.definition.name, item);
        }
        routing_view view;
        view.placed = placed;
        view.routes = std::make_shared<const route_table>(
            std::map<std::string, route>{{"wide", make_route("wide", wide_objective_ms, 0.89)},
                                         {"urgent", make_route("urgent", urgent_objective_ms, 0.75)}});
        view.region = "r";
        view.zone = "z";
        view.region_of_zone = std::map<std::string, std::string>{{"z", "r"}};
        view.entries = entries;
        return view;
    }

    void arrive()
    {
        caller from;
        from.route = std::bernoulli_distribution(wide_share)(m_random) ? "wide" : "urgent";
        from.first_at = m_events.now();
        ++m_tallies[from.route].asked;
        ask(from);
    }

    void ask(const caller& from)
    {
        entry& at = *m_entries[std::uniform_int_distribution<std::size_t>(0, entries - 1)(m_random)];
        auto request = std::make_shared<routed_request>();
        request->host = "h";
        request->target = "/" + from.route + "/x";
        request->patience = duration::from_ms(patience_ms) - (m_events.now() - from.first_at);
        const request_number number = ++m_last_request;
        at.callers.emplace(number, from);
        at.decisions.arrive(number, request, m_events.now());
        carry_out(at);
    }

    void carry_out(entry& at)
    {
        for (auto todo = at.decisions.take_actions(); !todo.empty(); todo = at.decisions.take_actions())
        {
            for (const router_action& action : todo)
            {
                if (const auto* start = std::get_if<start_routed_attempt>(&action))
                {
                    send(at, *start);
                }
                else if (const auto* answer = std::get_if<answer_request>(&action))
                {
                    answered(at, *answer);
                }
            }
        }
        const time_point next = at.decisions.next_time();
        if (next < at.timer_at)
        {
            at.timer_at = next;
            m_events.at(std::max(next, m_events.now()),
                        [this, &at]
                        {
                            at.timer_at = time_point::never();
                            at.decisions.on_time(m_events.now());
                            carry_out(at);
                        });
        }
    }

    void send(entry& at, const start_routed_attempt& action)
    {
        const bool wide = action.sent->target.rfind("/wide/", 0) == 0;
        constexpr double spread = 0.35;
        const double median = (wide ? wide_work_ms : urgent_work_ms) * std::exp(-spread * spread / 2);
        const double work = std::lognormal_distribution<double>(std::log(median), spread)(m_random);
        shared_replica& server = *m_replicas.at(std::stoul(action.server.str()));
        m_events.after(duration::from_ms(way_ms),
                       [this, &at, &server, work, attempt = action.attempt]
                       {
                           server.run(work,
                                      [this, &at, attempt](dispatch::attempt_status status)
                                      {
                                          m_events.after(duration::from_ms(way_ms),
                                                         [this, &at, attempt, status]
                                                         {
                                                             ended(at, attempt, status);
                                                         });
                                      });
                       });
    }

    void ended(entry& at, routed_attempt_number attempt, dispatch::attempt_status status)
    {
        dispatch::attempt_result result;
        result.status = status;
        std::shared_ptr<backend_answer> answer;
        if (status == dispatch::attempt_status::answered)
        {
            answer = std::make_shared<backend_answer>();
            answer->status = 200;
        }
        at.decisions.attempt_ended(attempt, result, answer, m_events.now());
        carry_out(at);
    }

    void answered(entry& at, const answer_request& action)
    {
        const auto found = at.callers.find(action.request);
        caller from = found->second;
        at.callers.erase(found);
        route_tally before_counting;
        route_tally& tally = from.first_at < m_counted_from ? before_counting : m_tallies[from.route];
        const duration took = m_events.now() - from.first_at + duration::from_ms(2 * way_ms);
        if (action.outcome.end == routed_end::merged)
        {
            const bool in_time =
                took <= duration::from_ms(from.route == "wide" ? wide_objective_ms : urgent_objective_ms);
            const double share = 1.0 - static_cast<double>(action.outcome.missing) / shards;
            tally.late += in_time ? 0 : 1;
            tally.worth += in_time ? share * share : 0.0;
            return;
        }
        if (from.came_back)
        {
            ++tally.failed;
            return;
        }
        from.came_back = true;
        const bool refused = action.outcome.end == routed_end::refused;
        m_events.after(refused ? action.outcome.retry_after : duration::from_ms(2 * way_ms),
                       [this, from]
                       {
                           ask(from);
                       });
    }

    event_queue m_events;
    std::mt19937_64 m_random;
    double m_rate_per_ms;
    std::vector<std::unique_ptr<shared_replica>> m_replicas;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::map<std::string, route_tally> m_tallies;
    time_point m_counted_from{};
    request_number m_last_request = 0;
};

} // namespace flaxtiller::bench
