#pragma once

#include "http_server.hpp"

#include <flaxtiller/core/error.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace flaxtiller::shell
{

/// @return @a j serialized; invalid UTF-8 sequences are replaced by U+FFFD
std::string to_text(const nlohmann::json& j);

/// @return a reply with a JSON body
http_reply json_reply(int status, const nlohmann::json& body);

/// @return a reply that describes an error:
/// `{"error": {"code", "message", "detail"}, "outcome": "not_run"}`, where `detail` is absent if it is empty
http_reply error_reply(int status, errc code, const std::string& detail = {});

} // namespace flaxtiller::shell
