#pragma once

#include <flaxtiller/core/duration.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace flaxtiller
{

/// @brief Estimates the latency of each fan-out route's parts (the requests to single shards), relative to
/// all parts of the same list of shards.
///
/// Routes with the same shards may cause very different amounts of work, so an attempt for a cheap route is
/// overdue much earlier than one for an expensive route. The relative latency is estimated over all shards of
/// the list. A few fan-outs suffice then, even if an entry sends few requests to each shard. Deterministic.
class route_latencies
{
  public:
    /// A route's estimate is used after this many parts: two or three fan-outs over 20 shards.
    static constexpr std::size_t min_samples = 50;
    /// Estimates are limited to this factor and its inverse: otherwise a few outliers would make attempts
    /// overdue at once or never.
    static constexpr double max_factor = 8.0;
    /// All estimates are discarded when this many routes or lists are tracked. This bounds the memory where
    /// routes are added and removed often.
    static constexpr std::size_t max_tracked_routes = 512;

    /// @brief Records the latency of an answered part.
    /// @param list the @ref list_id of the route's shards
    /// @complexity O(log(routes))
    void note(const std::string& route, std::uint64_t list, duration latency);

    /// @return the usual latency of the route's parts as a multiple of the list's usual latency; 1 if unknown
    double relative_latency(const std::string& route, std::uint64_t list) const;

    /// @return the number of routes with recorded latencies
    std::size_t tracked_routes() const noexcept
    {
        return m_routes.size();
    }

  private:
    /// A moving average of the logarithms of latencies; stragglers have little influence on it.
    struct latency_average
    {
        double log_ms = 0.0;
        std::size_t parts = 0;

        void note(double latest_log_ms);
    };

    std::map<std::pair<std::uint64_t, std::string>, latency_average> m_routes;
    std::map<std::uint64_t, latency_average> m_lists;
};

} // namespace flaxtiller
