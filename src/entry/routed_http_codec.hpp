#pragma once

#include "http/http_exchange.hpp"
#include "http/http_server.hpp"
#include "routed_header_names.hpp"

#include <flaxtiller/dispatch/attempt_result.hpp>
#include <flaxtiller/routing/routed_outcome.hpp>
#include <flaxtiller/routing/router_action.hpp>

#include <memory>
#include <optional>

namespace flaxtiller::shell
{

/// @brief The interpretation of a backend server's reply.
struct routed_reply
{
    dispatch::attempt_result result;
    /// The complete answer, whether success or failure; null if the request wasn't run or no answer was
    /// received.
    std::shared_ptr<const backend_answer> answer;
    /// Whether the reply has a load report that cannot be read.
    bool has_malformed_load = false;
};

/// @brief Converts routed requests, attempts and answers to and from HTTP messages.
///
/// The codec has no state and makes no decisions on routing; see @ref routing_frontend for the server that
/// uses it.
class routed_http_codec
{
  public:
    explicit routed_http_codec(routed_header_names names) : m_names(std::move(names))
    {
    }

    /// @return the id that the caller chose for the request; empty if there is none
    std::string request_id_of(const http_request& request) const
    {
        return request.headers.value(m_names.request_id);
    }

    /// @return the key of the caller, which identifies its team; empty if there is none
    std::string key_of(const http_request& request) const
    {
        return request.headers.value(m_names.key);
    }

    /// @brief Reads a caller's request. The caller's key and the headers that are set for each attempt are
    /// removed.
    /// @return the request, or nothing if it has no id or a malformed deadline
    std::optional<routed_request> read_request(const http_request& request) const;

    /// @brief Writes the HTTP request of an attempt at a backend server.
    /// @param left time left until the deadline of the attempt
    http_exchange write_attempt(const start_routed_attempt& attempt, duration left) const;

    /// @brief Interprets the reply of a backend server, or the reason why there is no reply.
    /// @param part whether the reply is one part of a merged answer; only a signed success counts as a part
    routed_reply read_reply(http_exchange_result reply, bool part) const;

    /// @brief Writes the final answer to the caller.
    http_reply write_answer(const routed_outcome& outcome) const;

  private:
    const routed_header_names m_names;
};

} // namespace flaxtiller::shell
