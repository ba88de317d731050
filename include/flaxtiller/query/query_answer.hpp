#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/error.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/query/missing_reason.hpp>
#include <flaxtiller/query/outcome.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace flaxtiller
{

/// @brief The answer to a query, as returned to its caller. The answers of all covered shards were computed
/// from the same index version.
struct query_answer
{
    enum outcome outcome = outcome::not_run;
    index_version version;
    /// The configuration revision with which the query was planned.
    std::int64_t revision = 0;
    /// The backend servers' answers, by shard.
    std::map<int, std::shared_ptr<const std::string>> covered;
    /// The shards without an answer, with the reasons.
    std::map<int, missing_reason> missing;
    /// The time after which the caller should retry; zero for a complete answer or if no time is known.
    duration retry_after{};
    /// The error for which the whole query was refused; errc::ok if it was not refused.
    errc refusal = errc::ok;
    /// Whether the answer is the recorded one of an earlier request with the same key, so that the request
    /// was not run again.
    bool repeated = false;

    /// @return whether the answer covers all shards of the query
    bool is_complete() const noexcept
    {
        return refusal == errc::ok && missing.empty() && !covered.empty();
    }

    bool operator==(const query_answer& other) const;
};

void to_json(nlohmann::json& j, const query_answer& value);
void from_json(const nlohmann::json& j, query_answer& value);

} // namespace flaxtiller
