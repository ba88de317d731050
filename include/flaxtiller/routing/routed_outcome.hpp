#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/quarantine/crash_record.hpp>
#include <flaxtiller/query/missing_reason.hpp>
#include <flaxtiller/routing/backend_answer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief How a routed request ends.
enum class routed_end
{
    /// One backend server's answer, passed on as it is.
    passed_on,
    /// The greatest records of several answers.
    merged,
    /// No route fits.
    no_route,
    /// The caller shows no key, or one that no team holds.
    unauthorized,
    /// Not run: its team is over its limit.
    over_limit,
    /// Not run, and it never will be; the caller may come back.
    refused,
    /// It may have run; no whole answer came.
    failed,
    /// It may have run; no whole answer came in time.
    late,
};

/// @brief The final answer to a routed request, and what led to it.
struct routed_outcome
{
    routed_end end = routed_end::refused;
    /// Whether it is what is in so far; a later one brings the rest.
    bool is_progress = false;
    std::shared_ptr<const backend_answer> answer;
    /// Of a merged answer: the body, the signatures of the parts, and how many parts are missing.
    std::string merged;
    std::vector<std::string> signatures;
    int missing = 0;
    /// The parts that are missing, by their positions in the fan-out and by their services.
    std::vector<std::size_t> missing_shards;
    std::vector<service_name> missing_services;
    missing_reason reason = missing_reason::none;
    duration retry_after{};
    /// The route that was used; empty if none fits.
    std::string route;
    /// The configuration's revision by which it was decided.
    std::int64_t revision = 0;
    /// Attempts on backend servers.
    int attempts = 0;
    /// The entries that ran some of it on this one's behalf.
    std::vector<instance_name> delegates;
    /// How long it took, for an entry that asked.
    duration took{};
    /// Set where backend servers crashed under it, for an entry that asked.
    std::vector<crash_record> crashes;
};

} // namespace flaxtiller
