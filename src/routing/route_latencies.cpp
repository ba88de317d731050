#include <flaxtiller/routing/route_latencies.hpp>

#include <algorithm>
#include <cmath>

namespace flaxtiller
{

namespace
{

/// The average covers some hundreds of parts: a few seconds at a few fan-outs per second.
constexpr double newest_sample_weight = 0.005;
constexpr double min_latency_ms = 0.01;

} // namespace

void route_latencies::latency_average::note(double latest_log_ms)
{
    ++parts;
    const double weight = std::max(newest_sample_weight, 1.0 / static_cast<double>(parts));
    log_ms += (latest_log_ms - log_ms) * weight;
}

void route_latencies::note(const std::string& route, std::uint64_t list, duration latency)
{
    if (m_routes.size() >= max_tracked_routes || m_lists.size() >= max_tracked_routes)
    {
        m_routes.clear();
        m_lists.clear();
    }
    const double log_ms = std::log(std::max(latency.ms(), min_latency_ms));
    m_routes[{list, route}].note(log_ms);
    m_lists[list].note(log_ms);
}

double route_latencies::relative_latency(const std::string& route, std::uint64_t list) const
{
    const auto known = m_routes.find({list, route});
    const auto usual = m_lists.find(list);
    if (known == m_routes.end() || usual == m_lists.end() || known->second.parts < min_samples)
    {
        return 1.0;
    }
    const double factor = std::exp(known->second.log_ms - usual->second.log_ms);
    return std::clamp(factor, 1.0 / max_factor, max_factor);
}

} // namespace flaxtiller
