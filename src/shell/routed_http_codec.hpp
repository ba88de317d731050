#pragma once

#include "http_exchange.hpp"
#include "http_server.hpp"
#include "routed_header_names.hpp"

#include <flaxtiller/dispatch/attempt_result.hpp>
#include <flaxtiller/routing/routed_outcome.hpp>
#include <flaxtiller/routing/router_action.hpp>

#include <memory>
#include <optional>

namespace flaxtiller::shell
{

/// @brief What a backend server's reply means.
struct routed_reply
{
    dispatch::attempt_result result;
    /// The whole answer, be it a success or a failure; nothing where the request wasn't run or no answer
    /// came.
    std::shared_ptr<const backend_answer> answer;
};

/// @brief Turns routed requests and answers into HTTP and back. Decides nothing.
class routed_http_codec
{
  public:
    explicit routed_http_codec(routed_header_names names) : m_names(std::move(names))
    {
    }

    /// @return the caller's id for the request; empty if it gave none
    std::string request_id_of(const http_request& request) const
    {
        return request.headers.value(m_names.request_id);
    }

    /// @return the key that the caller shows; empty for none
    std::string key_of(const http_request& request) const
    {
        return request.headers.value(m_names.key);
    }

    /// @return the request, without the caller's key, or nothing where it has no id or an unreadable deadline
    std::optional<routed_request> read_request(const http_request& request) const;

    /// @param left until the attempt's deadline
    http_exchange write_attempt(const start_routed_attempt& attempt, duration left) const;

    /// @param part whether only a signed success counts
    routed_reply read_reply(http_exchange_result reply, bool part) const;

    http_reply write_answer(const routed_outcome& outcome) const;

  private:
    const routed_header_names m_names;
};

} // namespace flaxtiller::shell
