#pragma once

#include "blind_entries.hpp"
#include "owner_entry.hpp"

#include <optional>

namespace flaxtiller::bench
{

/// @brief Runs one situation in virtual time. Same situation, same measurement, on every machine.
inline measurement run_situation(const situation& wanted)
{
    constexpr int replicas = 2;
    event_queue events;
    std::mt19937_64 random(wanted.seed);
    std::vector<std::unique_ptr<model_server>> servers;
    for (int i = 0; i < wanted.fan_out * replicas; ++i)
    {
        servers.push_back(std::make_unique<model_server>(events, random, wanted));
    }
    servers.front()->set_factor(wanted.slow_factor);
    query_ledger ledger(events, wanted);

    std::optional<owner_entry> owner;
    std::optional<blind_entries> blind;
    if (wanted.policy == policy::flaxtiller)
    {
        owner.emplace(events, wanted, servers, ledger);
    }
    else
    {
        blind.emplace(events, random, wanted, servers, ledger);
    }

    const double mean_ms = model_server::mean_work_ms + wanted.straggler_share * wanted.straggler_ms;
    const double capacity_per_ms = replicas * model_server::slots / mean_ms;
    const double rate_per_ms = wanted.load * capacity_per_ms;
    // The middle third of the time has burst_factor times as many queries.
    const double length_ms = wanted.queries / rate_per_ms * 3.0 / (2.0 + wanted.burst_factor);
    const time_point burst_begin(duration::from_ms(length_ms / 3));
    const time_point burst_end(duration::from_ms(length_ms * 2 / 3));

    if (wanted.lost_replica || wanted.cold_factor > 1.0)
    {
        model_server& lost = *servers.front();
        events.at(burst_begin,
                  [&lost]
                  {
                      lost.set_down(true);
                  });
        const time_point back = wanted.lost_replica ? burst_end : burst_begin + duration::from_ms(200);
        events.at(back,
                  [&lost]
                  {
                      lost.set_down(false);
                  });
        constexpr duration cold_for = duration::from_ms(2000);
        events.at(back,
                  [&lost, &wanted]
                  {
                      lost.set_factor(wanted.cold_factor);
                  });
        events.at(back + cold_for,
                  [&lost]
                  {
                      lost.set_factor(1.0);
                  });
    }

    // Arrivals have a source of randomness of their own: every policy meets the same ones.
    std::mt19937_64 arrivals(wanted.seed + 1000);
    double at_ms = 0;
    for (int i = 0; i < wanted.queries; ++i)
    {
        const bool in_burst = at_ms > length_ms / 3 && at_ms < length_ms * 2 / 3;
        at_ms += std::exponential_distribution<double>(rate_per_ms *
                                                       (in_burst ? wanted.burst_factor : 1.0))(arrivals);
        events.at(time_point(duration::from_ms(at_ms)),
                  [&]
                  {
                      const std::size_t query = ledger.arrive();
                      owner ? owner->on_query(query) : blind->on_query(query);
                  });
    }
    while (events.step())
    {
    }

    measurement found = ledger.measure(burst_begin, burst_end);
    found.useful_throughput /= capacity_per_ms;
    double begun = 0;
    for (const auto& server : servers)
    {
        begun += static_cast<double>(server->begun());
        found.most_in_use = std::max(found.most_in_use, server->most_in_use());
    }
    const double needed = (1.0 - found.refused) * wanted.queries * wanted.fan_out;
    found.extra_load = needed > 0 ? begun / needed - 1.0 : 0.0;
    return found;
}

} // namespace flaxtiller::bench
