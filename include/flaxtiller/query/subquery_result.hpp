#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/query/missing_reason.hpp>
#include <flaxtiller/query/outcome.hpp>

#include <memory>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief The result of a subquery, the part of a query that concerns one shard.
struct subquery_result
{
    int shard = 0;
    enum outcome outcome = outcome::not_run;
    missing_reason reason = missing_reason::none;
    /// The index version from which the answer was computed.
    index_version version;
    /// The index versions that the shard's backend servers reported to hold.
    std::vector<index_version> held_versions;
    /// The backend server's answer, for outcome::run.
    std::shared_ptr<const std::string> body;
    /// The time after which a retry is useful; zero if no time is known.
    duration retry_after{};
    /// The time that a new subquery of this shard is expected to wait for a slot, as estimated by the
    /// instance that owns the shard.
    duration estimated_wait{};

    bool operator==(const subquery_result&) const = default;
};

} // namespace flaxtiller
