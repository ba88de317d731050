#pragma once

#include <nlohmann/json.hpp>

namespace flaxtiller
{

/// @brief Why an answer doesn't cover a shard.
enum class missing_reason
{
    none,
    /// No placement rule gives the shard a backend server, or all that hold it are leaving or out of service.
    no_backend_server,
    /// The backend servers refused the work.
    shed,
    /// No answer within the deadline.
    late,
    /// No backend server holds the shard in the answer's index version.
    wrong_version,
    /// The connection broke before the answer was whole.
    cut,
    /// The tier itself refused the work: its queue is longer than the deadline.
    overloaded,
    /// The instance that owns the shard's backend servers can't be reached.
    owner_unreachable,
    /// Backend servers hold the shard, but none in a region where the request may be run.
    no_allowed_region,
    /// The request crashes the backend servers that run it, and is sent to none for now.
    quarantined,
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
                                              {missing_reason::quarantined, "quarantined"}})

} // namespace flaxtiller
