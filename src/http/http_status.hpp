#pragma once

namespace flaxtiller::shell
{

/// @brief The HTTP status codes that the protocols of flaxtiller use.
enum http_status : int
{
    http_switching_protocols = 101,
    http_ok = 200,
    http_temporary_redirect = 307,
    http_bad_request = 400,
    http_unauthorized = 401,
    http_not_found = 404,
    http_request_timeout = 408,
    http_conflict = 409,
    http_gone = 410,
    http_too_large = 413,
    http_not_leader = 421,
    http_too_many = 429,
    http_header_too_large = 431,
    /// The backend server stopped the work because the request was cancelled.
    http_cancelled = 499,
    http_error = 500,
    http_bad_gateway = 502,
    http_unavailable = 503,
    http_gateway_timeout = 504,
};

} // namespace flaxtiller::shell
