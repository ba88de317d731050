#pragma once

#include <string>

namespace flaxtiller::shell
{

/// @brief The names of the headers by which routed requests and their answers say more than HTTP does. The
/// defaults are the product's own; an adapter may use others.
struct routed_header_names
{
    /// A request's id, chosen by the caller; the backend server repeats it.
    std::string request_id = "X-Request-Id";
    /// Milliseconds that the sender waits.
    std::string deadline_ms = "X-Deadline-Ms";
    /// To a backend server: the id of the only one that shall run the request.
    std::string expected_server = "X-Expect-Server";
    /// From a caller: the key that tells its team. It goes to nobody else.
    std::string key = "X-Key";
    /// To a backend server: the caller's team, whatever the caller itself says there.
    std::string team = "X-Team";
    /// From a backend server: its signature of the answer.
    std::string signature = "X-Signature";
    /// From a backend server: the request wasn't run.
    std::string not_run = "X-Not-Run";
    /// Of a merged answer: the signatures of its parts, and how many parts are missing.
    std::string part_signatures = "X-Part-Signatures";
    std::string missing_parts = "X-Missing-Parts";

    bool operator==(const routed_header_names&) const = default;
};

} // namespace flaxtiller::shell
