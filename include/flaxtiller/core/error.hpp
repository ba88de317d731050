#pragma once

#include <string>
#include <system_error>

namespace flaxtiller
{

/// @brief The error codes. A code keeps its meaning in all versions and is never reused.
enum class errc : int
{
    ok = 0,

    // 1xx: settings and configuration documents
    document_unreadable = 101,
    document_malformed = 102,
    unknown_key = 103,
    wrong_type = 104,
    out_of_range = 105,
    missing_key = 106,
    key_conflict = 107,
    /// A list of findings ends here, although there are more.
    findings_omitted = 108,
    document_too_deep = 109,
    document_too_large = 110,
    text_too_long = 111,

    // 2xx: configuration catalog
    duplicate_name = 201,
    selector_matches_nothing = 202,
    shard_without_backend_server = 203,
    limit_too_small = 204,
    revision_conflict = 205,
    unknown_name = 206,
    revision_unknown = 207,
    duplicate_key = 208,

    // 3xx: control replicas
    not_leader = 301,
    not_committed = 302,
    storage_failed = 303,
    storage_corrupt = 304,
    storage_foreign = 305,

    // 4xx: queries
    unknown_service = 401,
    unknown_shard = 402,
    overloaded = 403,
    draining = 404,
    deadline_too_short = 405,
    key_reused = 406,
    key_expired = 407,
    not_ready = 408,
    register_unreachable = 409,
    no_route = 410,
    attempt_failed = 411,
    attempt_timed_out = 412,
    unauthorized = 413,
    over_limit = 414,

    // 5xx: input and output
    address_in_use = 501,
    address_malformed = 502,
    message_malformed = 503,
    message_too_large = 504,
    unreachable = 505,
    protocol_version = 506,
};

/// @return the error category of @ref errc
const std::error_category& error_category() noexcept;

/// @brief Converts an @ref errc to a `std::error_code`. The standard library finds the function by
/// argument-dependent lookup.
std::error_code make_error_code(errc code) noexcept;

} // namespace flaxtiller

template <>
struct std::is_error_code_enum<flaxtiller::errc> : std::true_type
{
};
