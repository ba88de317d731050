#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/json_reader.hpp>
#include <flaxtiller/core/region_set.hpp>
#include <flaxtiller/routing/weighted_service.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief Maps requests to one host and path prefix to services, with time-outs and limits.
///
/// A route has either @ref targets (each request goes to one of these services) or @ref fan_out (each request
/// goes to all of these services, each of which holds one shard, and the answers are merged).
struct route
{
    std::string name;
    std::string host;
    /// The path prefix begins and ends with a slash.
    std::string path_prefix;
    /// Whether backend servers may run a request more than once.
    bool repeatable = true;
    /// The caller gets an answer or an error within this time.
    duration timeout = duration::from_ms(1000);
    /// The latency objective: the time within which callers want their answer. Zero for none.
    duration objective{};
    /// The priority; 0 is the most urgent.
    int priority = 0;
    /// The greatest number of backend servers that one request may be sent to, for each service of a fan-out.
    int most_attempts = 2;
    std::vector<weighted_service> targets;
    std::vector<service_name> fan_out;
    /// A merged answer holds this many of the greatest records of a fan-out's answers.
    int top_records = 10;
    /// The smallest share of a fan-out's shards that an answer must cover; with fewer, the request fails.
    double least_share = 1.0;
    /// The regions in which requests may be run, and to whose entries they may be delegated.
    region_set allowed_regions;
    /// Whether callers without an API key are admitted although teams are declared.
    bool allows_anonymous = false;

    bool operator==(const route&) const = default;

    /// @return whether each request goes to all services of @ref fan_out
    bool fans_out() const noexcept
    {
        return !fan_out.empty();
    }
};

/// @return a hash that identifies a list of shards, equal on all instances; never 0
std::uint64_t list_id(const std::vector<service_name>& shards);

void to_json(nlohmann::json& j, const route& value);

/// @brief Reads one route from JSON; every error is added to the reader's findings.
void read_item(json_reader& reader, route& into);

} // namespace flaxtiller
