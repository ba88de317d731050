#pragma once

#include <flaxtiller/coordinator/peer_message.hpp>
#include <flaxtiller/distribution/revision_update.hpp>
#include <flaxtiller/quarantine/crash_record.hpp>
#include <flaxtiller/quorum/message.hpp>
#include <flaxtiller/register/register_command.hpp>
#include <flaxtiller/register/register_reply.hpp>
#include <flaxtiller/registration/registry.hpp>
#include <flaxtiller/routing/entry_peer.hpp>
#include <flaxtiller/routing/router_action.hpp>
#include <flaxtiller/teams/limit_message.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flaxtiller::shell
{

/// @brief The version of the protocol between our processes; a peer with another one is refused.
inline constexpr int link_protocol_version = 7;

/// @brief The first message on each link, in both directions.
struct hello
{
    int protocol_version = link_protocol_version;
    std::string role;
    std::string name;
    /// Drawn at each start of a process.
    std::uint64_t run = 0;
    std::string region;
    std::string zone;
    /// IP number and port at which it takes links.
    std::string address;
};

/// @brief A sign of life.
struct heartbeat
{
};

/// @brief A message of one of the replicated logs.
struct quorum_envelope
{
    std::string log;
    quorum::message message;
};

/// @brief Which incarnation of one of the replicated logs the sender holds; a wiped or new replica is known
/// by it.
struct incarnation_notice
{
    std::string log;
    quorum::incarnation_id incarnation = 0;
};

/// @brief Subqueries that the receiver shall run.
struct ask_message
{
    service_name service;
    std::vector<peer_subquery> subqueries;
};

/// @brief Results of subqueries that the receiver asked for.
struct answer_message
{
    service_name service;
    std::vector<peer_result> results;
};

/// @brief Subqueries whose results the sender no longer awaits.
struct abandon_message
{
    service_name service;
    std::vector<std::uint64_t> numbers;
};

/// @brief A command for the register, from an entry to a control replica.
struct register_call
{
    std::uint64_t number = 0;
    register_command command;
};

/// @brief The register's answer; `leads` is false where the asked replica can't answer.
struct register_return
{
    std::uint64_t number = 0;
    bool leads = false;
    register_reply reply;
};

/// @brief What changed among the backend servers that register themselves, or all that the sender knows.
struct registration_update
{
    /// Set where @ref items is all that the sender knows, and it has listened for long enough to know all.
    bool whole = false;
    std::vector<registration> items;
    /// Set where the sender has listened for long enough to know all, whether or not it tells all.
    bool settled = false;
};

/// @brief Backend servers whose own heartbeat the sender received lately.
struct registration_heard
{
    std::vector<heartbeat_receipt> items;
};

/// @brief The hash of the backend servers that the sender knows; where the receiver's differs for a while, it
/// sends all.
struct registration_digest
{
    std::uint64_t digest = 0;
};

/// @brief The control replicas, by their link addresses, as the sender's log has them.
struct control_members
{
    std::vector<std::string> names;
};

/// @brief The entry instances that can be reached, from a control leader: all of them, or what changed since
/// its last word to this receiver.
struct entry_list
{
    bool whole = false;
    std::vector<entry_peer> items;
    std::vector<instance_name> gone;
};

/// @brief Shards of a fan-out that the receiver shall run, with the sender's number for it.
struct routed_ask
{
    ask_number number = 0;
    routed_request request;
};

/// @brief What came of that.
struct routed_return
{
    ask_number number = 0;
    routed_outcome outcome;
};

/// @brief Nobody waits for that any more.
struct routed_abandon
{
    ask_number number = 0;
    /// Whether what runs is stopped, too.
    bool stops = false;
};

/// @brief An operator's change of one log's members, passed on to that log's leader.
struct member_request
{
    std::string log;
    /// `add`, `replace` or `remove`.
    std::string action;
    std::string name;
};

/// @brief Requests under which backend servers crashed: what changed, or all that the sender knows.
struct crash_news
{
    std::vector<crash_record> items;
};

using link_message =
    std::variant<hello, heartbeat, quorum_envelope, ask_message, answer_message, abandon_message,
                 register_call, register_return, distribution::revision_update, distribution::revision_report,
                 distribution::revision_confirmation, incarnation_notice, registration_update,
                 registration_heard, registration_digest, control_members, entry_list, routed_ask,
                 routed_return, routed_abandon, member_request, limit_report, limit_update, crash_news>;

inline constexpr std::size_t link_message_kinds = std::variant_size_v<link_message>;

/// @return the name of a kind of message, by its position in @ref link_message
const char* name_of_kind(std::size_t kind) noexcept;

/// The largest message, before it is compressed.
inline constexpr std::size_t most_message_bytes = std::size_t{64} << 20U;

/// @return the message as CBOR, compressed where it is large
std::string encode(const link_message& message);

/// @return the message, or nothing if the bytes are malformed
std::optional<link_message> decode(const std::string& bytes);

} // namespace flaxtiller::shell
