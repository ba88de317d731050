#pragma once

#include <flaxtiller/core/duration.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace flaxtiller
{

/// @brief How long the parts of each fan-out route take, relative to all parts of the same list of shards.
///
/// Routes that share their shards may differ much in the work that they ask for. An attempt of a route with
/// small parts is late long before one of a route with large parts is. What differs is learned over all
/// shards of the list, so that a few fan-outs suffice, also where an entry sees little of each shard.
/// Deterministic.
class route_latencies
{
  public:
    /// Parts to be seen of a route before its size counts: two or three fan-outs over 20 shards.
    static constexpr std::size_t min_samples = 50;
    /// No size is beyond this factor, so that a few odd latencies don't make attempts late at once or never.
    static constexpr double max_factor = 8.0;
    /// With more routes or lists than this, all is forgotten and learned anew: a bound for configurations in
    /// which routes come and go.
    static constexpr std::size_t max_tracked_routes = 512;

    /// @brief A part was answered.
    /// @param list the identity of the route's list of shards
    /// @complexity O(log(routes))
    void note(const std::string& route, std::uint64_t list, duration latency);

    /// @return how long a part of the route takes, as a multiple of what is usual for the list; 1 if unknown
    double relative_latency(const std::string& route, std::uint64_t list) const;

    /// @return how many routes something is known of
    std::size_t tracked_routes() const noexcept
    {
        return m_routes.size();
    }

  private:
    /// A moving average of the logarithms of latencies: a few stragglers hardly move it.
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
