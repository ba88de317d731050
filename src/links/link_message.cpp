#include "link_message.hpp"

#include "compression.hpp"

#include <flaxtiller/quorum/message_codec.hpp>
#include <flaxtiller/routing/routed_json.hpp>

#include <utility>

namespace flaxtiller::shell
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(quorum_envelope, log, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(incarnation_notice, log, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer_message, service, results)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(abandon_message, service, numbers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(register_call, number, command)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(register_return, number, leads, reply)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(control_members, names)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(entry_list, whole, items, gone)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(routed_ask, number, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(routed_return, number, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(routed_abandon, number, stops)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member_request, log, action, name)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(crash_news, items)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(control_members_request, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(control_members_reply, number, names, proof)

static void to_json(nlohmann::json& j, const ask_message& value)
{
    j = {{"service", value.service}, {"asked", subqueries_to_json(value.subqueries)}};
}

static void from_json(const nlohmann::json& j, ask_message& value)
{
    value.service = j.at("service").get<service_name>();
    value.subqueries = subqueries_from_json(j.at("asked"));
}

static void to_json(nlohmann::json& j, const heartbeat& value)
{
    j = nullptr;
    if (value.received_nothing_for > duration{})
    {
        j = value.received_nothing_for.ms();
    }
}

static void from_json(const nlohmann::json& j, heartbeat& value)
{
    value.received_nothing_for = duration::from_ms(j.is_number() ? j.get<double>() : 0.0);
}

// The last keys of each of these are optional. An older process ignores it.

static void to_json(nlohmann::json& j, const hello& value)
{
    j = {{"protocol_version", value.protocol_version},
         {"role", value.role},
         {"name", value.name},
         {"run", value.run},
         {"region", value.region},
         {"zone", value.zone},
         {"address", value.address},
         {"memory_mb", value.memory_mb}};
    if (value.deployment)
    {
        j["deployment"] = value.deployment->str();
    }
}

static void from_json(const nlohmann::json& j, hello& value)
{
    value.protocol_version = j.at("protocol_version").get<int>();
    value.role = j.at("role").get<std::string>();
    value.name = j.at("name").get<std::string>();
    value.run = j.at("run").get<std::uint64_t>();
    value.region = j.at("region").get<std::string>();
    value.zone = j.at("zone").get<std::string>();
    value.address = j.at("address").get<std::string>();
    value.memory_mb = j.value("memory_mb", 0);
    if (j.contains("deployment"))
    {
        value.deployment = deployment_id(j.at("deployment").get<std::string>());
    }
}

namespace
{

/// Key of the message's kind, which is the position of its type in link_message.
constexpr const char* kind_key = "k";
/// Key of the message itself.
constexpr const char* value_key = "v";
/// Messages of at least this size are compressed, since configurations and registrations repeat their keys.
/// With 65 entry instances and their control replicas, over 70 s, compression reduced the revisions from 131
/// MB to 9 MB and the registrations from 70 MB to 18 MB. Messages that requests wait for are smaller and
/// stay uncompressed.
constexpr std::size_t compression_threshold = 4096;

/// @brief Converts the value of a message, which is left in an unspecified state.
template <typename Message>
Message convert_value(nlohmann::json& value)
{
    return value.get<Message>();
}

/// @brief Moves the JSON tree of a configuration out of the value. Copying the tree took 6% of the processor
/// time of a starting entry instance with 225 services.
template <>
distribution::revision_update convert_value(nlohmann::json& value)
{
    nlohmann::json body = std::exchange(value.at("body"), nullptr);
    auto update = value.get<distribution::revision_update>();
    update.body = std::move(body);
    return update;
}

/// @return the message of this kind, or nothing if there is no such kind
template <std::size_t Index = 0>
std::optional<link_message> decode_kind(std::size_t kind, nlohmann::json& value)
{
    if constexpr (Index < std::variant_size_v<link_message>)
    {
        if (kind == Index)
        {
            return link_message(convert_value<std::variant_alternative_t<Index, link_message>>(value));
        }
        return decode_kind<Index + 1>(kind, value);
    }
    return std::nullopt;
}

} // namespace

const char* name_of_kind(std::size_t kind) noexcept
{
    static constexpr const char* names[] = {"hello",
                                            "heartbeat",
                                            "quorum",
                                            "ask",
                                            "answer",
                                            "abandon",
                                            "register_call",
                                            "register_return",
                                            "revision",
                                            "revision_report",
                                            "confirmation",
                                            "incarnation",
                                            "registration",
                                            "registration_heard",
                                            "registration_digest",
                                            "control_members",
                                            "entry_list",
                                            "routed_ask",
                                            "routed_return",
                                            "routed_abandon",
                                            "member_request",
                                            "limit_report",
                                            "limit_word",
                                            "crash_news",
                                            "control_members_request",
                                            "control_members_reply"};
    static_assert(std::size(names) == link_message_kinds);
    return names[kind];
}

std::string encode(const link_message& message)
{
    nlohmann::json j;
    j[kind_key] = message.index();
    std::visit(
        [&](const auto& value)
        {
            j[value_key] = value;
        },
        message);
    std::string bytes;
    nlohmann::json::to_cbor(j, bytes);
    return bytes.size() < compression_threshold ? bytes : compress(bytes);
}

std::optional<link_message> decode(const std::string& bytes)
{
    if (is_compressed(bytes))
    {
        const auto whole = decompress(bytes, max_message_bytes);
        return whole && !is_compressed(*whole) ? decode(*whole) : std::nullopt;
    }
    try
    {
        auto j = nlohmann::json::from_cbor(bytes);
        return decode_kind(j.at(kind_key).get<std::size_t>(), j.at(value_key));
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace flaxtiller::shell
