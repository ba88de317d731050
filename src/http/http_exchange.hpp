#pragma once

#include "http_fields.hpp"
#include "reply_fault.hpp"

#include <flaxtiller/core/duration.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller::shell
{

/// @brief A request to a peer over a persistent connection.
struct http_exchange
{
    /// Chosen by the user of the pool to identify the exchange when closing it; 0 if the user never closes
    /// it.
    std::uint64_t token = 0;
    std::string method;
    std::string target;
    http_fields headers;
    std::string body;
    /// The time limit for the complete reply.
    duration patience{};
    /// The maximum idle time of a connection that is reused for this request. After a longer idle time the
    /// peer may have dropped the connection, and the request would be lost.
    duration most_rest = duration::from_ms(3600000);
    /// The header in which the peer returns @ref id; empty for no check. A reply with another id belongs to
    /// another request.
    std::string id_header;
    std::string id;
    /// The header of the peer's signature; empty if there is none. Like the id, a reply has it at most once.
    std::string signature_header;
};

/// @brief How an exchange ended.
enum class exchange_end
{
    replied,
    /// No connection was established, and nothing was sent.
    unreachable,
    /// A part of the request or all of it was sent, and no complete reply arrived.
    cut,
    /// The request was sent completely, the peer closed or reset the connection before the first byte of a
    /// reply, and the peer accepts no new connection.
    hung_up,
    /// The user of the pool closed the exchange.
    closed,
    /// The reply to another request arrived.
    foreign,
};

/// @brief The result of an exchange: how it ended and, if a reply arrived, the reply.
struct http_exchange_result
{
    exchange_end end = exchange_end::unreachable;
    /// For the end `cut`: why the bytes that the peer sent aren't a reply; `none` if they broke off.
    reply_fault fault = reply_fault::none;
    int status = 0;
    http_fields headers;
    std::string body;
};

} // namespace flaxtiller::shell
