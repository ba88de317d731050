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

/// @brief What a caller is told. All covered shards answered from one index version.
struct query_answer
{
    enum outcome outcome = outcome::not_run;
    index_version version;
    /// The revision of the configuration by which the query was planned.
    std::int64_t revision = 0;
    /// Shard to the backend server's answer.
    std::map<int, std::shared_ptr<const std::string>> covered;
    std::map<int, missing_reason> missing;
    /// When to come back; zero where the answer is whole or nothing is known.
    duration retry_after{};
    /// Set if the query was refused as a whole.
    errc refusal = errc::ok;
    /// Read from the register: the request had been run before.
    bool repeated = false;

    /// @return whether every shard asked is covered
    bool is_complete() const noexcept
    {
        return refusal == errc::ok && missing.empty() && !covered.empty();
    }

    bool operator==(const query_answer& other) const;
};

void to_json(nlohmann::json& j, const query_answer& value);
void from_json(const nlohmann::json& j, query_answer& value);

} // namespace flaxtiller
