#pragma once

#include <string>

namespace flaxtiller::shell
{

/// @brief The names of the HTTP headers that carry the metadata of routed requests and of their answers, such
/// as deadline, team and signature. The defaults are the names of this product; an adapter may use other
/// names.
struct routed_header_names
{
    /// Request: the id that the caller chose. The backend server repeats the id in its reply.
    std::string request_id = "X-Request-Id";
    /// Request: the time in milliseconds that the sender waits for the answer.
    std::string deadline_ms = "X-Deadline-Ms";
    /// Request to a backend server: the id of the backend server that the request is meant for. Any other one
    /// must reject the request.
    std::string expected_server = "X-Expect-Server";
    /// Request from a caller: the key that identifies the caller's team. The key isn't forwarded.
    std::string key = "X-Key";
    /// Request to a backend server: the caller's team. Replaces any value that the caller sent.
    std::string team = "X-Team";
    /// Reply of a backend server: its signature of the answer.
    std::string signature = "X-Signature";
    /// Reply of a backend server: present if the backend server didn't run the request.
    std::string not_run = "X-Not-Run";
    /// Reply of a backend server: its load; see dispatch::parse_load_report.
    std::string load = "X-Load";
    /// Merged answer: the signatures of its parts, and the number of missing parts.
    std::string part_signatures = "X-Part-Signatures";
    std::string missing_parts = "X-Missing-Parts";

    bool operator==(const routed_header_names&) const = default;
};

} // namespace flaxtiller::shell
