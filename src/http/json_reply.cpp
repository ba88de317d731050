#include "json_reply.hpp"

#include <nlohmann/json.hpp>

namespace flaxtiller::shell
{

std::string to_text(const nlohmann::json& j)
{
    return j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http_reply json_reply(int status, const nlohmann::json& body)
{
    http_reply reply;
    reply.status = status;
    reply.body = to_text(body);
    return reply;
}

http_reply error_reply(int status, errc code, const std::string& detail)
{
    nlohmann::json error = {{"code", static_cast<int>(code)}, {"message", make_error_code(code).message()}};
    if (!detail.empty())
    {
        error["detail"] = detail;
    }
    return json_reply(status, {{"error", std::move(error)}, {"outcome", "not_run"}});
}

} // namespace flaxtiller::shell
