#include <flaxtiller/coordinator/event_codec.hpp>

#include <flaxtiller/core/error.hpp>

namespace flaxtiller
{

namespace dispatch
{

NLOHMANN_JSON_SERIALIZE_ENUM(attempt_status, {{attempt_status::cut, "cut"},
                                              {attempt_status::answered, "answered"},
                                              {attempt_status::unreachable, "unreachable"},
                                              {attempt_status::shed, "shed"},
                                              {attempt_status::leaving, "leaving"},
                                              {attempt_status::wrong_version, "wrong_version"},
                                              {attempt_status::cancelled, "cancelled"}})

static void to_json(nlohmann::json& j, const attempt_result& value)
{
    j = {{"status", value.status},
         {"version", value.version},
         {"held_versions", value.held_versions},
         {"retry_after", value.retry_after},
         {"leaving", value.leaving},
         {"hung_up", value.hung_up}};
    if (value.body)
    {
        j["body"] = *value.body;
    }
}

static void from_json(const nlohmann::json& j, attempt_result& value)
{
    value.status = j.at("status").get<attempt_status>();
    value.version = j.at("version").get<index_version>();
    value.held_versions = j.at("held_versions").get<std::vector<index_version>>();
    value.retry_after = j.at("retry_after").get<duration>();
    value.leaving = j.at("leaving");
    // Absent from older traces.
    value.hung_up = j.value("hung_up", false);
    if (j.contains("body"))
    {
        value.body = std::make_shared<const std::string>(j.at("body").get<std::string>());
    }
}

} // namespace dispatch

namespace
{

/// The names of the events in a trace, in the order of @ref coordinator_event.
constexpr const char* names[] = {
    "placement",     "peer",           "query",          "attempt",           "peer_asked",
    "peer_answered", "peer_abandoned", "register_began", "register_finished", "listed",
    "time"};

nlohmann::json placed_to_json(const placement& placed)
{
    nlohmann::json j = {{"revision", placed.revision}};
    for (const auto& [name, service] : placed.services)
    {
        j["services"].push_back({{"definition", service->definition}, {"shards", service->shards}});
    }
    for (const auto& [name, item] : placed.instances)
    {
        j["instances"].push_back(item);
    }
    return j;
}

std::shared_ptr<const placement> placed_from_json(const nlohmann::json& j)
{
    auto placed = std::make_shared<placement>();
    placed->revision = j.at("revision");
    findings found;
    for (const auto& service_document : j.value("services", nlohmann::json::array()))
    {
        nlohmann::json document = {{"services", {service_document.at("definition")}}};
        configuration parsed = parse_configuration(document, found);
        placed_service item{parsed.services.begin()->second, {}};
        for (const auto& replicas : service_document.at("shards"))
        {
            document = {{"backend_servers", replicas}};
            parsed = parse_configuration(document, found);
            auto& servers = item.shards.emplace_back();
            for (const auto& [name, server] : parsed.backend_servers)
            {
                servers.push_back(server);
            }
        }
        const service_name name = item.definition.name;
        placed->services.emplace(name, std::move(item));
    }
    const nlohmann::json document = {{"instances", j.value("instances", nlohmann::json::array())}};
    placed->instances = parse_configuration(document, found).instances;
    return placed;
}

struct writer
{
    nlohmann::json operator()(const placement_changed& event) const
    {
        return placed_to_json(*event.placed);
    }
    nlohmann::json operator()(const peer_reachable& event) const
    {
        return {{"peer", event.peer}, {"reachable", event.reachable}};
    }
    nlohmann::json operator()(const query_arrived& event) const
    {
        return {{"query", event.query}, {"request", event.request}};
    }
    nlohmann::json operator()(const attempt_ended& event) const
    {
        return {{"attempt", event.attempt}, {"result", event.result}};
    }
    nlohmann::json operator()(const peer_delegated& event) const
    {
        return {{"peer", event.peer}, {"asked", subqueries_to_json(event.subqueries)}};
    }
    nlohmann::json operator()(const peer_answered& event) const
    {
        return {{"peer", event.peer}, {"results", event.results}};
    }
    nlohmann::json operator()(const peer_abandoned& event) const
    {
        return {{"peer", event.peer}, {"numbers", event.numbers}};
    }
    nlohmann::json operator()(const register_began& event) const
    {
        return {{"query", event.query}, {"reply", event.reply}};
    }
    nlohmann::json operator()(const register_finished& event) const
    {
        return {{"query", event.query}};
    }
    nlohmann::json operator()(const listed& event) const
    {
        return {{"server", event.server}, {"leaving", event.leaving}};
    }
    nlohmann::json operator()(const time_passed&) const
    {
        return nlohmann::json::object();
    }
};

query_request request_from_json(const nlohmann::json& j)
{
    findings found;
    return parse_query_request(j, found);
}

} // namespace

nlohmann::json event_to_json(const coordinator_event& new_event)
{
    nlohmann::json j = std::visit(writer{}, new_event);
    j["kind"] = names[new_event.index()];
    return j;
}

coordinator_event event_from_json(const nlohmann::json& j)
{
    const auto kind = j.at("kind").get<std::string>();
    const auto is_kind = [&](std::size_t index)
    {
        return kind == names[index];
    };
    if (is_kind(0))
    {
        return placement_changed{placed_from_json(j)};
    }
    if (is_kind(1))
    {
        return peer_reachable{j.at("peer").get<instance_name>(), j.at("reachable")};
    }
    if (is_kind(2))
    {
        return query_arrived{j.at("query"), request_from_json(j.at("request"))};
    }
    if (is_kind(3))
    {
        return attempt_ended{j.at("attempt"), j.at("result").get<dispatch::attempt_result>()};
    }
    if (is_kind(4))
    {
        return peer_delegated{j.at("peer").get<instance_name>(), subqueries_from_json(j.at("asked"))};
    }
    if (is_kind(5))
    {
        return peer_answered{j.at("peer").get<instance_name>(),
                             j.at("results").get<std::vector<peer_result>>()};
    }
    if (is_kind(6))
    {
        return peer_abandoned{j.at("peer").get<instance_name>(),
                              j.at("numbers").get<std::vector<std::uint64_t>>()};
    }
    if (is_kind(7))
    {
        return register_began{j.at("query"), j.at("reply").get<register_reply>()};
    }
    if (is_kind(8))
    {
        return register_finished{j.at("query")};
    }
    if (is_kind(9))
    {
        return listed{j.at("server").get<backend_server_name>(), j.at("leaving")};
    }
    if (is_kind(10))
    {
        return time_passed{};
    }
    throw nlohmann::json::other_error::create(static_cast<int>(errc::document_malformed),
                                              "unknown event kind " + kind, &j);
}

} // namespace flaxtiller
