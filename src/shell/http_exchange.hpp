#pragma once

#include "http_fields.hpp"

#include <flaxtiller/core/duration.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller::shell
{

/// @brief One request to a peer over a kept connection.
struct http_exchange
{
    /// Chosen by the user of the pool, to close it by; 0 if it is never closed.
    std::uint64_t token = 0;
    std::string method;
    std::string target;
    http_fields headers;
    std::string body;
    /// A reply that doesn't come within this is given up.
    duration patience{};
    /// A kept connection that has rested for longer isn't used: the peer may have forgotten it, and what is
    /// sent then is lost.
    duration most_rest = duration::from_ms(3600000);
    /// The header by which the peer repeats @ref id; a reply with another id is not this request's.
    std::string id_header;
    std::string id;
};

/// @brief How an exchange ended.
enum class exchange_end
{
    replied,
    /// No connection; nothing was sent.
    unreachable,
    /// Something was sent, and no whole reply came.
    cut,
    /// All was sent, the peer closed or reset the connection before the first byte of a reply, and takes no
    /// new one.
    hung_up,
    /// The user of the pool closed it.
    closed,
    /// Another request's reply came.
    foreign,
};

/// @brief What came of an exchange.
struct http_exchange_result
{
    exchange_end end = exchange_end::unreachable;
    int status = 0;
    http_fields headers;
    std::string body;
};

} // namespace flaxtiller::shell
