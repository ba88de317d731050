#include "entry_implementation.hpp"

#include "http/http_call.hpp"

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
        std::error_code failed;
        const nlohmann::json list =
            reply ? parse_document(reply->body, bounds.document, failed) : nlohmann::json();
        if (list.is_array())
        {
            net::post(strand,
                      [this, list]
                      {
                          on_platform_list(list);
                      });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(settings.platform_poll_interval_ms));
    }
}

void entry_process::implementation::on_platform_list(const nlohmann::json& list)
{
    const auto snapshot = current_snapshot.load();
    for (const auto& item : list)
    {
        if (!item.is_object() || !item.contains("name") || !item["name"].is_string())
        {
            continue;
        }
        const backend_server_name server(item["name"].get<std::string>());
        const bool leaving = item.value("state", std::string()) == "leaving";
        const auto known = leaving_by_server.find(server);
        if (known != leaving_by_server.end() && known->second == leaving)
        {
            continue;
        }
        leaving_by_server[server] = leaving;
        log(log_level::info, "platform_list", {{"backend_server", server.str()}, {"leaving", leaving}});
        for (const auto& [name, runner] : snapshot->runners)
        {
            runner->post(listed{server, leaving});
        }
    }
}

} // namespace flaxtiller::shell
