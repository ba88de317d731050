#include "entry_implementation.hpp"

#include "shell/http_call.hpp"

#include <boost/asio/post.hpp>

namespace flaxtiller::shell
{

namespace
{

constexpr int platform_timeout_ms = 1000;

} // namespace

void entry_process::implementation::poll_platform()
{
    while (!stopping)
    {
        const auto reply =
            http_call(settings.platform_list, http_request{"GET", "/instances", "", {}}, platform_timeout_ms);
        const nlohmann::json list =
            reply ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json();
        if (list.is_array())
        {
            net::post(strand,
                      [this, list]
                      {
                          on_list(list);
                      });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(settings.platform_poll_interval_ms));
    }
}

void entry_process::implementation::on_list(const nlohmann::json& list)
{
    const auto now_in_force = table.load();
    for (const auto& item : list)
    {
        if (!item.is_object() || !item.contains("name") || !item["name"].is_string())
        {
            continue;
        }
        const backend_server_name server(item["name"].get<std::string>());
        const bool leaving = item.value("state", std::string()) == "leaving";
        const auto known = listed_leaving.find(server);
        if (known != listed_leaving.end() && known->second == leaving)
        {
            continue;
        }
        listed_leaving[server] = leaving;
        log(log_level::info, "platform_list", {{"backend_server", server.str()}, {"leaving", leaving}});
        for (const auto& [name, lane] : now_in_force->lanes)
        {
            lane->post(listed{server, leaving});
        }
    }
}

} // namespace flaxtiller::shell
