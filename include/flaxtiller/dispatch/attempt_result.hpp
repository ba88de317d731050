#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>

#include <memory>
#include <string>
#include <vector>

namespace flaxtiller::dispatch
{

/// @brief How an attempt ended, as the shell saw it.
enum class attempt_status
{
    answered,
    /// Not run: the connection couldn't be made, so nothing was sent.
    unreachable,
    /// Not run: the backend server said that it is full.
    shed,
    /// Not run: the backend server said that it is leaving.
    leaving,
    /// Not run: the backend server doesn't hold the index version.
    wrong_version,
    /// Unknown: the connection broke, or a malformed or foreign answer came, after something was sent.
    cut,
    /// The backend server confirmed that it stopped; it may have run in part.
    cancelled,
};

/// @brief The end of an attempt.
struct attempt_result
{
    attempt_status status = attempt_status::cut;
    index_version version;
    /// What the backend server says it holds; empty if it said nothing.
    std::vector<index_version> held_versions;
    std::shared_ptr<const std::string> body;
    duration retry_after{};
    /// The backend server answered but says that it is leaving.
    bool leaving = false;
    /// Of one that was cut: the backend server took it, closed the connection before the first byte of an
    /// answer and takes no new one, as one that crashed.
    bool hung_up = false;

    bool operator==(const attempt_result&) const = default;
};

} // namespace flaxtiller::dispatch
