#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/dispatch/load_report.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flaxtiller::dispatch
{

/// @brief How an attempt ended, as observed by the code that sent it.
enum class attempt_status
{
    answered,
    /// Not run: the connection could not be established, so nothing was sent.
    unreachable,
    /// Not run: the backend server refused the attempt because all its capacity is in use.
    shed,
    /// Not run: the backend server reported that it is being shut down or moved.
    leaving,
    /// Not run: the backend server does not hold the requested index version.
    wrong_version,
    /// Unknown: after the request was sent, the connection broke, or the answer was malformed or belonged to
    /// another server.
    cut,
    /// The backend server confirmed the cancel; it may have processed part of the attempt.
    cancelled,
};

/// @brief The result of an attempt.
struct attempt_result
{
    attempt_status status = attempt_status::cut;
    index_version version;
    /// The index versions that the backend server reported to hold; empty if it reported none.
    std::vector<index_version> held_versions;
    std::shared_ptr<const std::string> body;
    duration retry_after{};
    /// Whether the backend server reported, in an answer, that it is being shut down or moved.
    bool leaving = false;
    /// For the status @ref attempt_status::cut : whether the backend server accepted the connection, closed
    /// it before the first byte of an answer, and refuses new connections, as a crashed process does.
    bool hung_up = false;
    /// The load that the backend server reported with its answer or refusal, if any.
    std::optional<load_report> load{};

    bool operator==(const attempt_result&) const = default;
};

} // namespace flaxtiller::dispatch
