#include <flaxtiller/quorum/message_codec.hpp>

#include <flaxtiller/core/error.hpp>

namespace flaxtiller::quorum
{

namespace
{

nlohmann::json to_binary(const std::string& bytes)
{
    return nlohmann::json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string from_binary(const nlohmann::json& j)
{
    const auto& bytes = j.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// The names of the message kinds on the wire, in the order of the alternatives of message_body.
constexpr const char* kind_names[] = {"vote_request",    "vote_reply",      "append_request",
                                      "append_reply",    "install_request", "leadership_query",
                                      "leadership_reply"};

struct body_writer
{
    nlohmann::json& j;

    void operator()(const vote_request& body) const
    {
        j["trial"] = body.pre_vote;
        j["last_index"] = body.last_index;
        j["last_term"] = body.last_term;
    }
    void operator()(const vote_reply& body) const
    {
        j["trial"] = body.pre_vote;
        j["granted"] = body.granted;
    }
    void operator()(const append_request& body) const
    {
        j["previous_index"] = body.previous_index;
        j["previous_term"] = body.previous_term;
        j["commit"] = body.commit;
        j["sent_at_us"] = body.sent_at_us;
        j["entries"] = body.entries;
    }
    void operator()(const append_reply& body) const
    {
        j["success"] = body.success;
        j["match"] = body.match;
        j["sent_at_us"] = body.sent_at_us;
    }
    void operator()(const install_request& body) const
    {
        j["base"] = body.base;
        j["sent_at_us"] = body.sent_at_us;
    }
    void operator()(const leadership_query& body) const
    {
        j["life"] = body.replica_run;
    }
    void operator()(const leadership_reply& body) const
    {
        j["life"] = body.replica_run;
        j["leads"] = body.leads;
        j["members"] = body.members;
    }
};

message_body read_body(const std::string& kind, const nlohmann::json& j)
{
    if (kind == kind_names[0])
    {
        return vote_request{j.at("trial"), j.at("last_index"), j.at("last_term")};
    }
    if (kind == kind_names[1])
    {
        return vote_reply{j.at("trial"), j.at("granted")};
    }
    if (kind == kind_names[2])
    {
        return append_request{j.at("previous_index"), j.at("previous_term"), j.at("commit"),
                              j.at("sent_at_us"), j.at("entries").get<std::vector<log_entry>>()};
    }
    if (kind == kind_names[3])
    {
        return append_reply{j.at("success"), j.at("match"), j.at("sent_at_us")};
    }
    if (kind == kind_names[4])
    {
        return install_request{j.at("base").get<snapshot>(), j.at("sent_at_us")};
    }
    if (kind == kind_names[5])
    {
        return leadership_query{j.at("life")};
    }
    if (kind == kind_names[6])
    {
        return leadership_reply{j.at("life"), j.at("leads"), j.at("members").get<member_set>()};
    }
    throw nlohmann::json::other_error::create(static_cast<int>(errc::message_malformed),
                                              "unknown message kind " + kind, &j);
}

} // namespace

void to_json(nlohmann::json& j, const member_set& value)
{
    j = nlohmann::json::array();
    for (const auto& [name, item] : value.members)
    {
        j.push_back({{"name", name}, {"incarnation", item.incarnation}, {"voter", item.voter}});
    }
}

void from_json(const nlohmann::json& j, member_set& value)
{
    value = {};
    for (const auto& item : j)
    {
        const auto name = item.at("name").get<replica_name>();
        value.members[name] = member{name, item.at("incarnation"), item.at("voter")};
    }
}

void to_json(nlohmann::json& j, const log_entry& value)
{
    j = {{"index", value.index}, {"term", value.term}, {"kind", static_cast<int>(value.kind)}};
    if (value.kind == entry_kind::command)
    {
        j["command"] = to_binary(value.command);
    }
    if (value.kind == entry_kind::members)
    {
        j["members"] = value.members;
    }
}

void from_json(const nlohmann::json& j, log_entry& value)
{
    value = {};
    value.index = j.at("index");
    value.term = j.at("term");
    value.kind = static_cast<entry_kind>(j.at("kind").get<int>());
    if (value.kind == entry_kind::command)
    {
        value.command = from_binary(j.at("command"));
    }
    if (value.kind == entry_kind::members)
    {
        value.members = j.at("members").get<member_set>();
    }
}

void to_json(nlohmann::json& j, const snapshot& value)
{
    j = {{"last_index", value.last_index},
         {"last_term", value.last_term},
         {"members", value.members},
         {"state", to_binary(value.state)}};
}

void from_json(const nlohmann::json& j, snapshot& value)
{
    value.last_index = j.at("last_index");
    value.last_term = j.at("last_term");
    value.members = j.at("members").get<member_set>();
    value.state = from_binary(j.at("state"));
}

void to_json(nlohmann::json& j, const hard_state& value)
{
    j = {{"term", value.term}, {"voted_for", value.voted_for}, {"known_commit", value.known_commit}};
}

void from_json(const nlohmann::json& j, hard_state& value)
{
    value.term = j.at("term");
    value.voted_for = j.at("voted_for").get<replica_name>();
    value.known_commit = j.at("known_commit");
}

void to_json(nlohmann::json& j, const message& value)
{
    j = {{"from", value.from}, {"from_incarnation", value.from_incarnation},
         {"to", value.to},     {"to_incarnation", value.to_incarnation},
         {"term", value.term}, {"kind", kind_names[value.body.index()]}};
    std::visit(body_writer{j}, value.body);
}

void from_json(const nlohmann::json& j, message& value)
{
    value.from = j.at("from").get<replica_name>();
    value.from_incarnation = j.at("from_incarnation");
    value.to = j.at("to").get<replica_name>();
    value.to_incarnation = j.at("to_incarnation");
    value.term = j.at("term");
    value.body = read_body(j.at("kind").get<std::string>(), j);
}

} // namespace flaxtiller::quorum
