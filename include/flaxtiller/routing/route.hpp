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

/// @brief Where requests to one host and path prefix go, and under which limits.
///
/// A route has either @ref targets, of which each request goes to one, or @ref fan_out, of which each request
/// goes to all.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    /// Whether a request may run more than once.
    bool repeatable = true;
    /// A request is answered within this, whatever came back.
    duration timeout = duration::from_ms(1000);
    /// The latency objective: an answer within it has its full value. Zero for none.
    duration objective{};
    /// 0 is the most urgent.
    int priority = 0;
    /// Backend servers that one request may go to, for each service of a fan-out.
    int most_attempts = 2;
    std::vector<weighted_service> targets;
    std::vector<service_name> fan_out;
    /// Of a fan-out's answers, this many of the greatest records are returned.
    int top_records = 10;
    /// An answer that covers a smaller share of the fan-out is a failure.
    double least_share = 1.0;
    /// Where its requests may be run and passed on to.
    region_set allowed_regions;
    /// Whether callers need no key where teams are declared.
    bool allows_anonymous = false;

    bool operator==(const route&) const = default;

    /// @return whether each request goes to all services of @ref fan_out
    bool fans_out() const noexcept
    {
        return !fan_out.empty();
    }
};

/// @return the identity of a list of shards, equal on all instances; never 0
std::uint64_t list_id(const std::vector<service_name>& shards);

void to_json(nlohmann::json& j, const route& value);

/// @brief Reads one route; every fault goes to the reader's findings.
void read_item(json_reader& reader, route& into);

} // namespace flaxtiller
