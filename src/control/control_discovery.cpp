#include "control_implementation.hpp"

#include <flaxtiller/distribution/member_list_proof.hpp>

#include <algorithm>

namespace flaxtiller::shell
{

namespace
{

/// The time without a leader after which a replica asks entries for the control replicas. Most elections take
/// less time.
constexpr duration search_after = duration::from_ms(1000);

} // namespace

std::set<std::string> control_process::implementation::contact_names()
{
    std::set<std::string> names = replica_names();
    names.insert(named_by_entries.begin(), named_by_entries.end());
    if (is_without_members())
    {
        names.insert(named_by_seeds.begin(), named_by_seeds.end());
    }
    return names;
}

bool control_process::implementation::is_without_members()
{
    const quorum::replica* node = catalog.node();
    return node != nullptr && node->members().members.empty();
}

void control_process::implementation::on_control_members(const hello& from, const control_members& list)
{
    const bool is_seed =
        from.role == "control" && std::any_of(settings.replicas.begin(), settings.replicas.end(),
                                              [&](const named_address& seed)
                                              {
                                                  return seed.name == from.name;
                                              });
    if (is_seed && is_self_forming() && is_without_members())
    {
        named_by_seeds.insert(list.names.begin(), list.names.end());
        link_to_members();
    }
}

void control_process::implementation::search_replicas(time_point now)
{
    const bool has_leader = catalog_leaderless.since() == time_point::never();
    if (has_leader || !is_self_forming())
    {
        discovery.end();
        named_by_entries.clear();
        if (!dialled_for_discovery.empty())
        {
            dialled_for_discovery.clear();
            dial_peers();
        }
        return;
    }
    const bool searches =
        now - catalog_leaderless.since() >= search_after && !catalog.state().current().key_secret.empty();
    if (!searches || !discovery.is_choice_due(now))
    {
        return;
    }
    const std::vector<std::string> linked = linked_entry_names();
    if (discovery.is_dial_due(linked.size(), now))
    {
        std::set<std::string> unlinked;
        for (const std::string& name : entry_names())
        {
            unlinked.insert(name);
        }
        for (const std::string& name : linked)
        {
            unlinked.erase(name);
        }
        dialled_for_discovery = discovery.choose_peers_to_dial(unlinked, now);
        dial_peers();
    }
    // An older build takes the question for a malformed message.
    std::set<std::string> asked;
    for (const std::string& name : linked)
    {
        const auto identity = links.identity(name);
        if (identity && identity->deployment)
        {
            asked.insert(name);
        }
    }
    for (const std::string& entry : discovery.choose(asked, draw64(), now))
    {
        links.send(entry, control_members_request{discovery.number()});
    }
}

void control_process::implementation::on_control_members_reply(const hello& from,
                                                               const control_members_reply& reply)
{
    const bool proved = distribution::is_member_list_proved(catalog.state().current().key_secret,
                                                            reply.number, reply.names, reply.proof);
    const bool accepted = proved && discovery.is_awaited(from.name, reply.number);
    log(log_level::info, "control_replicas_named",
        {{"by", from.name}, {"names", reply.names.size()}, {"proved", proved}, {"accepted", accepted}});
    if (accepted)
    {
        named_by_entries.insert(reply.names.begin(), reply.names.end());
        link_to_members();
    }
}

} // namespace flaxtiller::shell
