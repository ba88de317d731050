#pragma once

#include "http_fields.hpp"

#include <functional>
#include <memory>
#include <string>

namespace flaxtiller::shell
{

/// @brief An HTTP request: received by a server's handler, or sent by @ref http_call.
struct http_request
{
    std::string method;
    std::string target;
    std::string body;
    http_fields headers;
    /// A callback that a server's handler may set before it returns. The server calls it on the connection's
    /// strand if the caller closes the connection before the reply. A later reply is discarded.
    std::shared_ptr<std::function<void()>> on_gone{};
};

} // namespace flaxtiller::shell
