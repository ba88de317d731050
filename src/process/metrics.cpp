#include "metrics.hpp"

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace flaxtiller::shell
{

namespace bh = boost::histogram;

namespace
{

constexpr std::array counter_names{"queries",
                                   "answers_whole",
                                   "answers_partial",
                                   "answers_refused",
                                   "answers_unknown",
                                   "subqueries_local",
                                   "subqueries_for_peers",
                                   "subqueries_to_peers",
                                   "attempts",
                                   "cancels",
                                   "foreign_answers",
                                   "malformed_answers",
                                   "connections_opened",
                                   "malformed_requests",
                                   "malformed_load_reports",
                                   "refused_past_deadline",
                                   "refused_past_objective",
                                   "refused_too_many_open",
                                   "refused_unconfirmed",
                                   "unread_requests_refused",
                                   "requests_suspected",
                                   "requests_quarantined",
                                   "groups_to_second_owner",
                                   "link_messages_sent",
                                   "link_bytes_sent"};
constexpr std::array timer_names{"query", "attempt"};

constexpr unsigned bins = 200;
constexpr double lowest_ms = 0.01;
constexpr double highest_ms = 100000.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using counts = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using latencies = bh::histogram<std::tuple<log_axis>, counts>;

latencies make_latencies()
{
    return {std::make_tuple(log_axis(bins, lowest_ms, highest_ms)), counts()};
}

nlohmann::json quantiles(const latencies& taken)
{
    std::array<std::uint64_t, bins> seen{};
    std::uint64_t total = 0;
    for (unsigned bin = 0; bin < bins; ++bin)
    {
        seen[bin] = static_cast<std::uint64_t>(taken.at(static_cast<int>(bin)));
        total += seen[bin];
    }
    nlohmann::json result = {{"count", total}};
    constexpr std::array wanted{std::pair("p50_ms", 0.5), std::pair("p99_ms", 0.99),
                                std::pair("p999_ms", 0.999)};
    for (const auto& [name, share] : wanted)
    {
        std::uint64_t passed = 0;
        for (unsigned bin = 0; bin < bins && total > 0; ++bin)
        {
            passed += seen[bin];
            if (static_cast<double>(passed) >= share * static_cast<double>(total))
            {
                result[name] = taken.axis(0).bin(static_cast<int>(bin)).upper();
                break;
            }
        }
    }
    return result;
}

} // namespace

struct metrics::timers
{
    std::array<latencies, timer_names.size()> taken{make_latencies(), make_latencies()};
};

metrics::metrics() : m_timers(std::make_unique<timers>())
{
    static_assert(counter_names.size() == static_cast<std::size_t>(counter::count_));
    static_assert(timer_names.size() == static_cast<std::size_t>(timer::count_));
}

metrics::~metrics() = default;

void metrics::add(counter which, std::uint64_t amount) noexcept
{
    m_counters[static_cast<std::size_t>(which)].fetch_add(amount, std::memory_order_relaxed);
}

void metrics::add_link_bytes(std::size_t kind, std::uint64_t bytes) noexcept
{
    add(counter::link_messages_sent);
    add(counter::link_bytes_sent, bytes);
    m_link_bytes[kind].fetch_add(bytes, std::memory_order_relaxed);
}

nlohmann::json metrics::link_bytes() const
{
    nlohmann::json sent = nlohmann::json::object();
    for (std::size_t kind = 0; kind < link_message_kinds; ++kind)
    {
        const std::uint64_t bytes = m_link_bytes[kind].load(std::memory_order_relaxed);
        if (bytes > 0)
        {
            sent[name_of_kind(kind)] = bytes;
        }
    }
    return sent;
}

void metrics::observe(timer which, duration latency)
{
    m_timers->taken[static_cast<std::size_t>(which)](std::clamp(latency.ms(), lowest_ms, highest_ms * 0.999));
}

nlohmann::json metrics::dump() const
{
    nlohmann::json dumped;
    for (std::size_t i = 0; i < counter_names.size(); ++i)
    {
        dumped["counters"][counter_names[i]] = m_counters[i].load(std::memory_order_relaxed);
    }
    for (std::size_t i = 0; i < timer_names.size(); ++i)
    {
        dumped["latencies"][timer_names[i]] = quantiles(m_timers->taken[i]);
    }
    dumped["link_bytes"] = link_bytes();
    return dumped;
}

} // namespace flaxtiller::shell
