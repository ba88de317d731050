#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/quarantine/crash_record.hpp>
#include <flaxtiller/query/missing_reason.hpp>
#include <flaxtiller/routing/admission_decision.hpp>
#include <flaxtiller/routing/backend_answer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief The kinds of final answers to a routed request.
enum class routed_end
{
    /// The answer of one backend server, forwarded unchanged.
    passed_on,
    /// The greatest records of the answers of several backend servers.
    merged,
    /// No route matches the request.
    no_route,
    /// The caller presented no API key, or a key that belongs to no team.
    unauthorized,
    /// Not run: the team exceeded its rate limit.
    over_limit,
    /// Not run, and will not be run; the caller may retry.
    refused,
    /// The request may have run, but no complete answer was received.
    failed,
    /// The request may have run, but no complete answer was received before the deadline.
    late,
};

/// @brief The answer to a routed request, with details for logs, metrics and a delegating entry.
struct routed_outcome
{
    routed_end end = routed_end::refused;
    /// Whether this is a partial outcome; a later outcome holds the remaining parts.
    bool is_progress = false;
    /// The forwarded answer; set for @ref routed_end::passed_on.
    std::shared_ptr<const backend_answer> answer;
    /// For a merged answer: the body, the signatures of the parts, and the number of missing parts.
    std::string merged;
    std::vector<std::string> signatures;
    int missing = 0;
    /// The missing parts, as positions in the fan-out and as services.
    std::vector<std::size_t> missing_shards;
    std::vector<service_name> missing_services;
    missing_reason reason = missing_reason::none;
    duration retry_after{};
    /// The name of the matched route; empty if none matches.
    std::string route;
    /// The configuration revision that the request was routed with.
    std::int64_t revision = 0;
    /// The number of records that a merged answer holds at most; set for the log.
    int top_records = 0;
    /// The number of attempts on backend servers.
    int attempts = 0;
    /// The entries to which shards were delegated and whose results are in the answer.
    std::vector<instance_name> delegates;
    /// The time from arrival to this outcome; set for a delegating entry.
    duration took{};
    /// The time that a group of shards delegated now would wait at this instance; set for a delegating entry.
    duration runner_delay{};
    /// The inputs of the decision that refused the request at its arrival; set for the log if admission
    /// control refused it.
    std::optional<admission_decision> admission{};
    /// The request's crash record, for a delegating entry; set if backend servers crashed while running the
    /// request.
    std::vector<crash_record> crashes;
};

} // namespace flaxtiller
