#pragma once

#include <nlohmann/json.hpp>

namespace flaxtiller
{

/// @brief The reason for which an answer does not cover a shard.
enum class missing_reason
{
    none,
    /// No placement rule assigns a backend server to the shard, or all its backend servers are leaving or out
    /// of service.
    no_backend_server,
    /// The backend servers refused the subquery because of their load.
    shed,
    /// No answer arrived before the deadline.
    late,
    /// No backend server holds the shard in the index version of the answer.
    wrong_version,
    /// The connection to the backend server broke before the answer was complete.
    cut,
    /// The query tier refused the subquery because the expected time in its queue exceeds the deadline.
    overloaded,
    /// The instance that owns the shard's backend servers is unreachable.
    owner_unreachable,
    /// Backend servers hold the shard, but none of them is in a region in which the request may be run.
    no_allowed_region,
    /// The request is suspected to crash backend servers and is therefore not sent to any at present.
    quarantined,
    /// A new revision of the configuration no longer contains the route or the team of the request.
    withdrawn,
    /// The active configuration doesn't contain the route or key of the request, and no leader has confirmed
    /// it lately, so that it may be out of date.
    unconfirmed,
};

NLOHMANN_JSON_SERIALIZE_ENUM(missing_reason, {{missing_reason::none, "none"},
                                              {missing_reason::no_backend_server, "no_backend_server"},
                                              {missing_reason::shed, "shed"},
                                              {missing_reason::late, "late"},
                                              {missing_reason::wrong_version, "wrong_version"},
                                              {missing_reason::cut, "cut"},
                                              {missing_reason::overloaded, "overloaded"},
                                              {missing_reason::owner_unreachable, "owner_unreachable"},
                                              {missing_reason::no_allowed_region, "no_allowed_region"},
                                              {missing_reason::quarantined, "quarantined"},
                                              {missing_reason::withdrawn, "withdrawn"},
                                              {missing_reason::unconfirmed, "unconfirmed"}})

} // namespace flaxtiller
