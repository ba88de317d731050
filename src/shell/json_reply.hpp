#pragma once

#include "http_server.hpp"

#include <flaxtiller/core/error.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace flaxtiller::shell
{

/// @return @a j as text; bytes that aren't UTF-8 are replaced
std::string to_text(const nlohmann::json& j);

/// @return a reply with a JSON body
http_reply json_reply(int status, const nlohmann::json& body);

/// @return a reply that says what is wrong: `{"error": {"code", "message", "detail"}}`
http_reply error_reply(int status, errc code, const std::string& detail = {});

} // namespace flaxtiller::shell
