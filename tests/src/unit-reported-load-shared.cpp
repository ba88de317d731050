// Senders that share backend servers and choose by load reports, in virtual time.

#include "event_queue.hpp"
#include "scheduler_driver.hpp"
#include "simulated_server.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <numeric>
#include <random>

using namespace flaxtiller;
using namespace flaxtiller::dispatch;
using flaxtiller::bench::event_queue;
using flaxtiller::test::make_service;
using flaxtiller::test::report_kind;
using flaxtiller::test::simulated_server;

namespace
{

struct shared_load
{
    unsigned seed = 1;
    int senders = 85;
    double requests_per_s = 300.0;
    report_kind reports = report_kind::current;
    /// Whether requests are sent to the backend server with the shortest expected wait by its current queue.
    bool sees_all = false;
};

/// @brief Runs a load and measures the waits from arrival until a backend server begins to work.
class shared_run
{
  public:
    explicit shared_run(const shared_load& load) : m_load(load), m_random(load.seed)
    {
        constexpr std::array speeds{0.8, 1.0, 1.3};
        for (std::size_t i = 0; i < speeds.size(); ++i)
        {
            m_servers.push_back(
                std::make_unique<simulated_server>(m_events, speeds.at(i), load.seed * 10 + i));
        }
        placed_service placed = make_service(1, static_cast<int>(speeds.size()), simulated_server::slots);
        for (backend_server& server : placed.shards[0])
        {
            server.connection_limit = 3 * load.senders;
        }
        scheduler_options options;
        options.direct = true;
        options.cancel_losers = false;
        options.avoid_stalled = true;
        options.overdue_by_server = true;
        options.failure_half_life = duration::from_ms(2000);
        options.extra_load_share = 0.2;
        options.reads_server_load = true;
        for (int i = 0; i < load.senders; ++i)
        {
            m_senders.push_back(std::make_unique<sender>(scheduler(options)));
            m_senders.back()->decisions.configure(placed, load.senders, m_events.now());
        }
    }

    /// @return the waits in ms
    std::vector<double> play()
    {
        constexpr double warm_ms = 10000.0;
        constexpr double measured_ms = 100000.0;
        std::exponential_distribution<double> gap(m_load.requests_per_s / 1000.0);
        for (double at = gap(m_random); at < warm_ms + measured_ms; at += gap(m_random))
        {
            m_events.at(time_point(duration::from_ms(at)),
                        [this, measured = at > warm_ms]
                        {
                            arrive(measured);
                        });
        }
        while (m_events.step())
        {
        }
        return std::move(m_waits_ms);
    }

  private:
    struct sender
    {
        explicit sender(scheduler made) : decisions(std::move(made))
        {
        }

        scheduler decisions;
        time_point timer_at = time_point::never();
    };

    void arrive(bool measured)
    {
        const subquery_id id = ++m_last;
        const double work_ms = std::lognormal_distribution<double>(std::log(9.4), 0.35)(m_random);
        m_asked.emplace(id, request{m_events.now(), work_ms, measured, false});
        if (m_load.sees_all)
        {
            const auto best = std::min_element(m_servers.begin(), m_servers.end(),
                                               [&](const auto& a, const auto& b)
                                               {
                                                   return a->expected_ms(work_ms) < b->expected_ms(work_ms);
                                               });
            send(**best, id, [](simulated_server&) {});
            return;
        }
        sender& from =
            *m_senders[std::uniform_int_distribution<std::size_t>(0, m_senders.size() - 1)(m_random)];
        subquery spec;
        spec.id = id;
        spec.deadline = m_events.now() + duration::from_ms(5000);
        spec.most_attempts = 2;
        from.decisions.submit(spec, m_events.now());
        carry_out(from);
    }

    void send(simulated_server& server, subquery_id id,
              const std::function<void(simulated_server&)>& answered)
    {
        constexpr duration way = duration::from_ms(1);
        m_events.after(way,
                       [this, &server, id, answered]
                       {
                           server.run(
                               m_asked.at(id).work_ms,
                               [this, id]
                               {
                                   begun(m_asked.at(id));
                               },
                               [this, &server, answered]
                               {
                                   answered(server);
                               });
                       });
    }

    struct request
    {
        time_point at;
        double work_ms;
        bool measured;
        bool has_begun;
    };

    void begun(request& item)
    {
        if (!item.has_begun && item.measured)
        {
            m_waits_ms.push_back((m_events.now() - item.at).ms());
        }
        item.has_begun = true;
    }

    void carry_out(sender& from)
    {
        for (const action& item : from.decisions.take_actions())
        {
            if (const auto* start = std::get_if<start_attempt>(&item))
            {
                const auto which = static_cast<std::size_t>(start->server.str().back() - 'a');
                send(*m_servers.at(which), start->subquery,
                     [this, &from, id = start->attempt](simulated_server& server)
                     {
                         answered(from, id, server);
                     });
            }
        }
        const time_point next = from.decisions.next_time();
        if (next < from.timer_at)
        {
            from.timer_at = next;
            m_events.at(std::max(next, m_events.now()),
                        [this, &from]
                        {
                            from.timer_at = time_point::never();
                            from.decisions.on_time(m_events.now());
                            carry_out(from);
                        });
        }
    }

    void answered(sender& from, attempt_id id, simulated_server& server)
    {
        attempt_result result;
        result.status = attempt_status::answered;
        if (m_load.reports != report_kind::none)
        {
            result.load = server.report(m_load.reports);
        }
        m_events.after(duration::from_ms(1),
                       [this, &from, id, result]
                       {
                           from.decisions.on_result(id, result, m_events.now());
                           carry_out(from);
                       });
    }

    shared_load m_load;
    event_queue m_events;
    std::mt19937 m_random;
    std::vector<std::unique_ptr<simulated_server>> m_servers;
    std::vector<std::unique_ptr<sender>> m_senders;
    std::map<subquery_id, request> m_asked;
    std::vector<double> m_waits_ms;
    subquery_id m_last = 0;
};

/// @brief The waits of several runs with different seeds, in ms.
struct wait_figures
{
    double mean = 0.0;
    double p90 = 0.0;
    double p99 = 0.0;
};

wait_figures measure(shared_load load)
{
    std::vector<double> waits;
    for (const unsigned seed : {1U, 2U, 3U, 4U})
    {
        load.seed = seed;
        const std::vector<double> more = shared_run(load).play();
        waits.insert(waits.end(), more.begin(), more.end());
    }
    std::sort(waits.begin(), waits.end());
    const double sum = std::accumulate(waits.begin(), waits.end(), 0.0);
    return {sum / static_cast<double>(waits.size()), waits[waits.size() * 90 / 100],
            waits[waits.size() * 99 / 100]};
}

shared_load with_reports(int senders, report_kind reports)
{
    shared_load load;
    load.senders = senders;
    load.reports = reports;
    return load;
}

} // namespace

// Guards against reports that are late, frozen or false and make waits longer than without reports.
TEST_CASE("misleading load reports do little harm with 85 senders", "[load][reports]")
{
    constexpr double most_harm = 1.05;
    const auto kind =
        GENERATE(report_kind::late, report_kind::frozen, report_kind::inverted, report_kind::random);
    const wait_figures without = measure(with_reports(85, report_kind::none));
    const wait_figures with = measure(with_reports(85, kind));
    CAPTURE(static_cast<int>(kind), without.mean, with.mean, without.p99, with.p99);
    CHECK(with.p99 <= without.p99 * most_harm);
    CHECK(with.mean <= without.mean * most_harm);
}

// Guards against reports without an effect on the choice.
TEST_CASE("current load reports shorten the waits of 85 senders", "[load][reports]")
{
    const wait_figures without = measure(with_reports(85, report_kind::none));
    const wait_figures with = measure(with_reports(85, report_kind::current));
    CAPTURE(without.mean, with.mean, without.p90, with.p90, without.p99, with.p99);
    CHECK(with.mean <= without.mean * 0.95);
    CHECK(with.p90 <= without.p90 * 0.9);
}

// Guards against a choice that falls behind one that sees all queues where few owners send most of the work.
TEST_CASE("with three senders, waits are near those of a choice that sees all queues", "[load][reports]")
{
    shared_load all = with_reports(3, report_kind::current);
    all.sees_all = true;
    const wait_figures best = measure(all);
    const wait_figures with = measure(with_reports(3, report_kind::current));
    CAPTURE(best.p99, with.p99);
    CHECK(with.p99 <= best.p99 * 1.25);
}
