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

/// @brief What became of one shard's part of a query.
struct subquery_result
{
    int shard = 0;
    enum outcome outcome = outcome::not_run;
    missing_reason reason = missing_reason::none;
    /// The version that the answer was made from.
    index_version version;
    /// The versions that the shard's backend servers are known to hold.
    std::vector<index_version> held_versions;
    /// The backend server's answer, if it was run.
    std::shared_ptr<const std::string> body;
    /// How long to wait before asking again makes sense; zero where nothing is known.
    duration retry_after{};
    /// How long a new subquery of this shard would wait now, as its owner sees it.
    duration estimated_wait{};

    bool operator==(const subquery_result&) const = default;
};

} // namespace flaxtiller
