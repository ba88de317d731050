#pragma once

#include "event_queue.hpp"
#include "situation.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace flaxtiller::bench
{

/// @brief Follows every query of a run from its arrival to its answer, and works out the measurement.
class query_ledger
{
  public:
    struct entry
    {
        time_point arrived;
        time_point ended;
        int answered = 0;
        int open = 0;
        bool refused = false;
        bool done = false;
    };

    query_ledger(event_queue& events, const situation& wanted) : m_events(events), m_situation(wanted)
    {
        m_entries.reserve(static_cast<std::size_t>(wanted.queries));
    }

    std::size_t arrive()
    {
        entry fresh;
        fresh.arrived = m_events.now();
        fresh.open = m_situation.fan_out;
        m_entries.push_back(fresh);
        return m_entries.size() - 1;
    }

    void refuse(std::size_t query)
    {
        entry& item = m_entries[query];
        item.refused = true;
        end(item);
    }

    /// @brief One shard is over; the last one ends the query.
    void shard_done(std::size_t query, bool answered)
    {
        entry& item = m_entries[query];
        if (item.done)
        {
            return;
        }
        item.answered += answered ? 1 : 0;
        if (--item.open == 0)
        {
            end(item);
        }
    }

    bool is_done(std::size_t query) const
    {
        return m_entries[query].done;
    }

    void deadline(std::size_t query)
    {
        if (!m_entries[query].done)
        {
            end(m_entries[query]);
        }
    }

    measurement measure(time_point burst_begin, time_point burst_end) const
    {
        measurement found;
        std::vector<double> latencies;
        std::vector<double> after;
        double covered = 0;
        double whole = 0;
        double accepted = 0;
        double useful = 0;
        const std::size_t warm_up = m_entries.size() / 10;
        for (std::size_t i = warm_up; i < m_entries.size(); ++i)
        {
            const entry& item = m_entries[i];
            const double latency = (item.ended - item.arrived).ms();
            if (item.refused)
            {
                found.refused += 1;
                found.refusal_ms = std::max(found.refusal_ms, latency);
                continue;
            }
            const bool is_whole = item.answered == m_situation.fan_out;
            accepted += 1;
            covered += static_cast<double>(item.answered) / m_situation.fan_out;
            whole += is_whole ? 1 : 0;
            latencies.push_back(latency);
            useful += is_whole && item.ended >= burst_begin && item.ended < burst_end ? 1 : 0;
            if (item.arrived > burst_end + duration::from_ms(2000))
            {
                after.push_back(latency);
            }
        }
        const double all = accepted + found.refused;
        found.p50_ms = quantile(latencies, 0.5);
        found.p99_ms = quantile(latencies, 0.99);
        found.p999_ms = quantile(latencies, 0.999);
        found.max_ms = quantile(latencies, 1.0);
        found.p99_after_ms = quantile(after, 0.99);
        found.coverage = accepted > 0 ? covered / accepted : 0;
        found.whole_answers = all > 0 ? whole / all : 0;
        found.refused = all > 0 ? found.refused / all : 0;
        found.useful_throughput = useful / (burst_end - burst_begin).ms();
        return found;
    }

  private:
    void end(entry& item)
    {
        item.done = true;
        item.ended = m_events.now();
    }

    static double quantile(std::vector<double>& values, double share)
    {
        if (values.empty())
        {
            return 0;
        }
        const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank), values.end());
        return values[rank];
    }

    event_queue& m_events;
    const situation& m_situation;
    std::vector<entry> m_entries;
};

} // namespace flaxtiller::bench
