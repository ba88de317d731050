// Outcomes of delegated groups: how they are taken in, added up, and what follows a failure.

#include <flaxtiller/routing/router.hpp>

#include <flaxtiller/routing/top_records.hpp>

#include <algorithm>

namespace flaxtiller
{

/// Adds an outcome to the earlier outcomes of the same delegation. If two entries run the same shards, the
/// more complete result counts.
void router::merge_outcome(open_request& opened, group& delegated_group, delegation& from,
                           const routed_outcome& outcome)
{
    routed_outcome& sum = from.outcome;
    sum.signatures.insert(sum.signatures.end(), outcome.signatures.begin(), outcome.signatures.end());
    sum.merged =
        top_records({sum.merged, outcome.merged}, static_cast<std::size_t>(opened.rules.top_records));
    sum.missing_shards = outcome.missing_shards;
    if (sum.signatures.size() < delegated_group.outcome.signatures.size())
    {
        return;
    }
    opened.succeeded +=
        static_cast<int>(sum.signatures.size()) - static_cast<int>(delegated_group.outcome.signatures.size());
    delegated_group.outcome = sum;
    delegated_group.answered_by = from.peer;
}

void router::end_group(open_request& opened, group& delegated_group)
{
    delegated_group.is_finished = true;
    opened.missing +=
        static_cast<int>(delegated_group.parts.size() - delegated_group.outcome.signatures.size());
    for (const std::size_t at : delegated_group.parts)
    {
        opened.parts[at].is_finished = true;
    }
}

void router::on_delegation_outcome(const instance_name& peer, delegation_number number,
                                   const routed_outcome& outcome, time_point now)
{
    (void)merge_crash_records(outcome.crashes, now);
    record_owner_delay(peer, outcome, now);
    process_outcome(peer, number, outcome, now);
    process_held(now);
}

void router::process_outcome(const instance_name& peer, delegation_number number,
                             const routed_outcome& outcome, time_point now)
{
    const auto known = m_delegations.find(number);
    if (known == m_delegations.end())
    {
        return;
    }
    const request_number request = known->second;
    open_request& opened = m_open.at(request);
    const auto has_number = [&](const delegation& sent)
    {
        return sent.number == number;
    };
    const auto delegated_group =
        std::find_if(opened.groups.begin(), opened.groups.end(),
                     [&](const group& item)
                     {
                         return std::any_of(item.delegations.begin(), item.delegations.end(), has_number);
                     });
    delegation& sent =
        *std::find_if(delegated_group->delegations.begin(), delegated_group->delegations.end(), has_number);
    if (sent.peer != peer)
    {
        return;
    }
    sent.has_replied = true;
    sent.is_finished = !outcome.is_progress;
    opened.may_have_run = opened.may_have_run || outcome.attempts > 0;
    if (sent.is_finished)
    {
        m_delegations.erase(known);
    }
    if (outcome.end != routed_end::merged)
    {
        on_delegation_failed(request, *delegated_group, sent, outcome, now);
        return;
    }
    record_round_trip(peer, now - sent.sent_at - outcome.took);
    m_groups.answered(peer);
    merge_outcome(opened, *delegated_group, sent, outcome);
    if (sent.is_finished)
    {
        opened.attempts += outcome.attempts;
    }
    if (!delegated_group->is_awaited() ||
        delegated_group->outcome.signatures.size() == delegated_group->parts.size())
    {
        end_group(opened, *delegated_group);
    }
    settle(request, opened, now);
}

/// Handles a delegation that ended without any parts.
void router::on_delegation_failed(request_number number, group& delegated_group, const delegation& failed,
                                  const routed_outcome& outcome, time_point now)
{
    m_groups.failed(failed.peer, now);
    const bool not_run = outcome.end == routed_end::refused || outcome.end == routed_end::no_route;
    open_request& opened = m_open.at(number);
    opened.may_have_run = opened.may_have_run || !not_run;
    opened.reason = outcome.reason;
    const bool first = delegated_group.delegations.size() == 1;
    if (!delegated_group.is_awaited())
    {
        replace_delegation(number, delegated_group, !(not_run && first), now);
    }
}

} // namespace flaxtiller
