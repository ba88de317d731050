#include "control_implementation.hpp"

#include "http/http_status.hpp"
#include "http/json_reply.hpp"
#include "process/machine_dump.hpp"

namespace flaxtiller::shell
{

void control_process::implementation::on_operator(const http_request& request,
                                                  const http_server::respond& respond)
{
    if (request.target == "/health")
    {
        respond(json_reply(http_ok, {{"state", catalog.node() ? "running" : "storage_failing"}}));
    }
    else if (request.target == "/changes" && request.method == "POST")
    {
        on_change(request, respond);
    }
    else if (request.target == "/changes/preview" && request.method == "POST")
    {
        on_preview(request, respond);
    }
    else if (request.target == "/configuration")
    {
        on_configuration(respond);
    }
    else if (request.target == "/status")
    {
        on_status(respond);
    }
    else if (request.target == "/members" && request.method == "POST")
    {
        on_members(request, respond);
    }
    else if (request.target == "/dump")
    {
        respond(json_reply(http_ok, dump()));
    }
    else if (request.target == "/metrics")
    {
        respond(json_reply(http_ok, metrics_dump()));
    }
    else
    {
        respond(error_reply(http_not_found, errc::message_malformed, "no such resource"));
    }
}

http_reply control_process::implementation::not_leader() const
{
    http_reply reply = error_reply(http_not_leader, errc::not_leader);
    const quorum::replica* node = const_cast<catalog_machine&>(catalog).node();
    if (node != nullptr && !node->leader().empty())
    {
        reply.headers.set("X-Leader", node->leader().str());
    }
    return reply;
}

void control_process::implementation::on_signal()
{
    signals.async_wait(
        [this](const boost::system::error_code& failed, int number)
        {
            if (failed)
            {
                return;
            }
            if (number == SIGHUP)
            {
                reload_settings(settings_reload::cause::signal);
                on_signal();
                return;
            }
            log(log_level::info, "stopped", {{"signal", number}});
            io.stop();
        });
}

void control_process::implementation::on_configuration(const http_server::respond& respond)
{
    if (!catalog.is_authoritative(clock.now()))
    {
        respond(not_leader());
        return;
    }
    const catalog_state& state = catalog.state();
    nlohmann::json history = nlohmann::json::array();
    for (const auto& [revision, id] : state.history())
    {
        history.push_back({{"revision", revision}, {"change", id}});
    }
    respond(json_reply(http_ok, {{"revision", state.revision()},
                                 {"configuration", state.current()},
                                 {"history", std::move(history)}}));
}

void control_process::implementation::on_status(const http_server::respond& respond)
{
    const time_point now = clock.now();
    if (!catalog.is_authoritative(now))
    {
        respond(not_leader());
        return;
    }
    nlohmann::json instances = nlohmann::json::array();
    for (const auto& [name, known] : publisher.instances())
    {
        instances.push_back({{"instance", name},
                             {"revision_in_force", known.active_revision},
                             {"heard_ms_ago", (now - known.last_report_at).ms()}});
    }
    respond(json_reply(http_ok, {{"leader", settings.replica.name},
                                 {"revision", catalog.state().revision()},
                                 {"evacuated_zones", catalog.state().current().evacuated_zones},
                                 {"instances", std::move(instances)},
                                 {"catalog", dump_of(catalog, clock.now())},
                                 {"register", dump_of(registers, clock.now())}}));
}

void control_process::implementation::on_members(const http_request& request,
                                                 const http_server::respond& respond)
{
    std::error_code failed;
    const nlohmann::json j = parse_document(request.body, bounds.document, failed);
    const std::string action = j.is_object() ? j.value("action", std::string()) : std::string();
    const std::string name = j.is_object() ? j.value("name", std::string()) : std::string();
    if (name.empty() || (action != "add" && action != "replace" && action != "remove"))
    {
        respond(error_reply(http_bad_request, errc::document_malformed,
                            "wants {\"action\": add, replace or remove, \"name\": a replica}"));
        return;
    }
    if (!leads(catalog))
    {
        respond(not_leader());
        return;
    }
    // Each log has its own leader. A request for a log that this replica doesn't lead goes to its leader.
    const member_request requested{{}, action, name};
    const std::error_code first = change_members(catalog, catalog_log, requested);
    const std::error_code second = change_members(registers, register_log, requested);
    schedule_pump();
    if (const std::error_code refused = first ? first : second)
    {
        respond(error_reply(http_unavailable, static_cast<errc>(refused.value()), "try again"));
        return;
    }
    log(log_level::info, "members_changed", {{"action", action}, {"replica", name}});
    respond(json_reply(http_ok, {{"catalog", dump_of(catalog, clock.now())},
                                 {"register", dump_of(registers, clock.now())}}));
}

nlohmann::json control_process::implementation::dump()
{
    nlohmann::json j = {{"process", "control"},
                        {"replica", settings.replica.name},
                        {"region", settings.replica.region},
                        {"availability_zone", settings.replica.availability_zone},
                        {"revision", catalog.state().revision()},
                        {"evacuated_zones", catalog.state().current().evacuated_zones},
                        {"register_keys", registers.state().size()},
                        {"reachable_peers", links.reachable()},
                        {"catalog", dump_of(catalog, clock.now())},
                        {"register", dump_of(registers, clock.now())},
                        {"crash_records", crash_records.known().all(1, clock.now())},
                        {"metrics", metrics_dump()}};
    return j;
}

nlohmann::json control_process::implementation::metrics_dump()
{
    nlohmann::json j = counted.dump();
    j["quorum"] = {{catalog_log, quorum_metrics(catalog, clock.now())},
                   {register_log, quorum_metrics(registers, clock.now())}};
    return j;
}

quorum::incarnation_id control_process::implementation::founding_incarnation(const quorum::replica_name& name)
{
    return hash64(name.str()) | 1U;
}

} // namespace flaxtiller::shell
