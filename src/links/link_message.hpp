#pragma once

#include <flaxtiller/catalog/deployment_id.hpp>
#include <flaxtiller/coordinator/peer_message.hpp>
#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/distribution/revision_update.hpp>
#include <flaxtiller/quarantine/crash_record.hpp>
#include <flaxtiller/quorum/message.hpp>
#include <flaxtiller/register/register_command.hpp>
#include <flaxtiller/register/register_reply.hpp>
#include <flaxtiller/registration/registration_messages.hpp>
#include <flaxtiller/routing/entry_peer.hpp>
#include <flaxtiller/routing/router_action.hpp>
#include <flaxtiller/teams/limit_message.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flaxtiller::shell
{

/// @brief The version of the link protocol, which entry instances and control replicas speak to each other.
/// A peer that announces a different version is refused.
inline constexpr int link_protocol_version = 7;

/// @brief The handshake: the first message that each side sends on a link. It identifies the sender.
struct hello
{
    int protocol_version = link_protocol_version;
    std::string role;
    std::string name;
    /// Identifies one run of the sending process, from its start to its end; drawn anew at each start.
    std::uint64_t run = 0;
    std::string region;
    std::string zone;
    /// IP address and port at which the sender accepts links.
    std::string address;
    /// The deployment of the sender, unknown before it has a configuration with a secret. A process sends its
    /// handshake again when it learns its deployment. Older processes don't know the key.
    std::optional<deployment_id> deployment{};
    /// The memory that the sender may use, in MB; 0 if it isn't known. Older processes don't know the key.
    int memory_mb = 0;
};

/// @brief Shows that the sender is alive; sent on a link that carried no other message for a heartbeat
/// interval.
struct heartbeat
{
    /// The time for which the sender has received nothing from the receiver, if that is longer than two
    /// heartbeat intervals; otherwise zero. A link may carry messages in one direction only, which just the
    /// other side can notice. Encoded as null if it is zero.
    duration received_nothing_for;
};

/// @brief A consensus message of one of the replicated logs.
struct quorum_envelope
{
    /// The name of the log.
    std::string log;
    quorum::message message;
};

/// @brief The incarnation of one of the replicated logs that the sender holds. The receiver recognises a new
/// replica, or one whose storage was wiped, by its incarnation.
struct incarnation_notice
{
    std::string log;
    quorum::incarnation_id incarnation = 0;
};

/// @brief Subqueries that the sender delegates to the receiver.
struct ask_message
{
    service_name service;
    std::vector<peer_subquery> subqueries;
};

/// @brief Results of subqueries that the receiver of this message had delegated to the sender.
struct answer_message
{
    service_name service;
    std::vector<peer_result> results;
};

/// @brief Withdraws delegated subqueries: the sender no longer waits for their results.
struct abandon_message
{
    service_name service;
    std::vector<std::uint64_t> numbers;
};

/// @brief A command for the replicated register, sent by an entry instance to a control replica.
struct register_call
{
    std::uint64_t number = 0;
    register_command command;
};

/// @brief The reply to a @ref register_call.
struct register_return
{
    std::uint64_t number = 0;
    /// False if the replica that received the call can't answer it; @ref reply is then without meaning.
    bool leads = false;
    register_reply reply;
};

/// @brief The link addresses of the control replicas that are members of the sender's replicated log.
struct control_members
{
    std::vector<std::string> names;
};

/// @brief The reachable entry instances, sent by a control leader: either all of them, or the changes since
/// the leader's previous list to this receiver.
struct entry_list
{
    /// True if @ref items is the full list.
    bool whole = false;
    std::vector<entry_peer> items;
    /// Instances that became unreachable since the previous list.
    std::vector<instance_name> gone;
};

/// @brief Delegates the shards of a fan-out to the receiver. The sender chooses the number, which identifies
/// the delegation in later messages.
struct routed_ask
{
    delegation_number number = 0;
    routed_request request;
};

/// @brief The outcome, or the progress, of the delegation that @ref routed_ask started.
struct routed_return
{
    delegation_number number = 0;
    routed_outcome outcome;
};

/// @brief Ends the delegation that @ref routed_ask started: the sender no longer waits for its outcome.
struct routed_abandon
{
    delegation_number number = 0;
    /// True if attempts that are running are to be stopped as well.
    bool stops = false;
};

/// @brief An operator's request to change the members of a replicated log, forwarded to the leader of that
/// log.
struct member_request
{
    std::string log;
    /// `add`, `replace` or `remove`.
    std::string action;
    std::string name;
};

/// @brief Records of requests during which backend servers crashed: either the changed records, or all
/// records that the sender has.
struct crash_news
{
    std::vector<crash_record> items;
};

/// @brief Asks the receiver for the control replicas that it can contact. Sent by a process that has no
/// contact to a leader: all control replicas that it knows may be gone.
struct control_members_request
{
    /// Drawn by the sender at random, so that an earlier reply can't be taken for the one to this request.
    std::uint64_t number = 0;
};

/// @brief The reply to a @ref control_members_request. A process that has no contact to a leader itself
/// doesn't reply.
struct control_members_reply
{
    std::uint64_t number = 0;
    /// The link addresses of the control replicas.
    std::vector<std::string> names;
    /// Shows that the sender belongs to the deployment of the receiver; see @ref
    /// distribution::member_list_proof.
    std::string proof;
};

/// @brief Any message that a link carries. The position of a type is its number on the wire, so a new type
/// goes at the end.
using link_message =
    std::variant<hello, heartbeat, quorum_envelope, ask_message, answer_message, abandon_message,
                 register_call, register_return, distribution::revision_update, distribution::revision_report,
                 distribution::revision_confirmation, incarnation_notice, registration_update,
                 registration_heard, registration_digest, control_members, entry_list, routed_ask,
                 routed_return, routed_abandon, member_request, limit_report, limit_update, crash_news,
                 control_members_request, control_members_reply>;

/// The number of kinds of messages; a kind is the position of a type in @ref link_message.
inline constexpr std::size_t link_message_kinds = std::variant_size_v<link_message>;

/// @return the name of a kind of message, by its position in @ref link_message
const char* name_of_kind(std::size_t kind) noexcept;

/// The size limit of a message before compression.
inline constexpr std::size_t max_message_bytes = std::size_t{64} << 20U;

/// @return the message as CBOR, compressed if it is large
std::string encode(const link_message& message);

/// @return the decoded message, or nothing if the bytes are malformed
std::optional<link_message> decode(const std::string& bytes);

} // namespace flaxtiller::shell
