// Final and partial answers: when a request is answered, and with which outcome.

#include <flaxtiller/routing/router.hpp>

#include <flaxtiller/routing/top_records.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

/// A delegating entry can use any share of the delegated shards.
double router::least_share_of(const open_request& opened) const
{
    return opened.request->is_delegated() ? 0.0 : opened.matched_route->least_share;
}

bool router::has_min_share(const open_request& opened) const
{
    const auto required = least_share_of(opened) * static_cast<double>(opened.parts.size());
    return opened.succeeded > 0 && static_cast<double>(opened.succeeded) >= required;
}

void router::settle(request_number number, open_request& opened, time_point now)
{
    if (opened.matched_route->fans_out())
    {
        settle_fan_out(number, opened, now);
    }
    else
    {
        settle_single(number, opened, now);
    }
}

void router::settle_single(request_number number, open_request& opened, time_point now)
{
    const part& item = opened.parts.front();
    // An error answer of the backend server is forwarded too if no attempt succeeded.
    if (item.answer)
    {
        routed_outcome result;
        result.end = routed_end::passed_on;
        result.answer = item.answer;
        finish(number, opened, std::move(result), now);
        return;
    }
    fail(number, opened, opened.reason == missing_reason::late, now);
}

void router::settle_fan_out(request_number number, open_request& opened, time_point now)
{
    const auto all = static_cast<int>(opened.parts.size());
    const bool complete = opened.succeeded + opened.missing == all;
    // A delegating entry has received a partial outcome at its objective, and may still use later parts.
    const bool may_stop = opened.past_objective && !opened.request->is_delegated();
    if (has_min_share(opened) && (complete || may_stop))
    {
        merge(number, opened, now);
        return;
    }
    const auto max_succeeded = static_cast<double>(all - opened.missing);
    const bool is_share_unreachable =
        max_succeeded < least_share_of(opened) * static_cast<double>(all) || max_succeeded == 0.0;
    if (is_share_unreachable || complete)
    {
        fail(number, opened, now >= opened.deadline, now);
    }
}

void router::merge(request_number number, open_request& opened, std::optional<time_point> now)
{
    finish(number, opened, merged_so_far(opened), now);
}

std::size_t router::succeeded_parts(const open_request& opened)
{
    auto count = static_cast<std::size_t>(std::count_if(opened.parts.begin(), opened.parts.end(),
                                                        [](const part& item)
                                                        {
                                                            return item.has_succeeded();
                                                        }));
    for (const group& delegated_group : opened.groups)
    {
        count += delegated_group.outcome.signatures.size();
    }
    return count;
}

routed_outcome router::merged_so_far(const open_request& opened) const
{
    routed_outcome result;
    result.end = routed_end::merged;
    std::vector<std::string_view> bodies;
    for (const part& item : opened.parts)
    {
        if (item.has_succeeded() && !item.is_reported)
        {
            bodies.emplace_back(item.answer->body);
            result.signatures.push_back(item.answer->signature);
        }
    }
    for (const group& delegated_group : opened.groups)
    {
        if (!delegated_group.outcome.signatures.empty())
        {
            bodies.emplace_back(delegated_group.outcome.merged);
            result.signatures.insert(result.signatures.end(), delegated_group.outcome.signatures.begin(),
                                     delegated_group.outcome.signatures.end());
            result.delegates.push_back(delegated_group.answered_by);
        }
    }
    // Computed from the received signatures, not from the lists of missing shards that other entries sent:
    // the count must match the parts in the answer.
    result.missing = static_cast<int>(opened.parts.size() - succeeded_parts(opened));
    result.merged = top_records(bodies, static_cast<std::size_t>(opened.rules.top_records));
    return result;
}

/// Shows the delegating entry that its request is being run, and hands over the parts that have succeeded in
/// case the rest is too late.
void router::send_progress(request_number number, open_request& opened, time_point now)
{
    routed_outcome result = merged_so_far(opened);
    const bool first = opened.progress_at != time_point::never();
    if (!first && result.signatures.empty())
    {
        // There are no new parts to send.
        return;
    }
    result.is_progress = true;
    describe(opened, result);
    result.runner_delay = runner_delay_of(opened, now);
    result.took = now - opened.arrived_at;
    for (part& item : opened.parts)
    {
        item.is_reported = item.has_succeeded();
    }
    m_actions.emplace_back(send_partial_outcome{number, std::move(result)});
}

void router::end_at_deadline(request_number number, open_request& opened, std::optional<time_point> now)
{
    if (opened.matched_route->fans_out() && has_min_share(opened))
    {
        merge(number, opened, now);
        return;
    }
    fail(number, opened, true, now);
}

/// @return the numbers of the open requests in order of arrival, so that equal events give equal actions
std::vector<request_number> router::open_numbers() const
{
    std::vector<request_number> numbers;
    numbers.reserve(m_open.size());
    for (const auto& [number, opened] : m_open)
    {
        numbers.push_back(number);
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

void router::answer_all()
{
    for (const request_number number : open_numbers())
    {
        end_at_deadline(number, m_open.at(number), std::nullopt);
    }
}

void router::fail(request_number number, open_request& opened, bool late, std::optional<time_point> now)
{
    const bool running = std::any_of(opened.parts.begin(), opened.parts.end(),
                                     [](const part& item)
                                     {
                                         return !item.is_finished;
                                     });
    routed_outcome result;
    result.end = routed_end::refused;
    const bool is_delegation_pending = std::any_of(opened.groups.begin(), opened.groups.end(),
                                                   [](const group& delegated_group)
                                                   {
                                                       return !delegated_group.is_finished;
                                                   });
    if (opened.may_have_run || (running && opened.attempts > 0) || is_delegation_pending)
    {
        result.end = late ? routed_end::late : routed_end::failed;
    }
    result.retry_after = std::max(opened.retry_after, m_options.min_retry_after);
    if (result.end == routed_end::refused && opened.reason != missing_reason::quarantined && now)
    {
        spread_return(result, *opened.matched_route, *opened.request, *now);
    }
    finish(number, opened, std::move(result), now);
}

std::vector<std::size_t> router::missing_shards(const open_request& opened)
{
    std::vector<std::size_t> missing;
    if (!opened.matched_route->fans_out())
    {
        return missing;
    }
    std::vector<bool> known_from_group(opened.parts.size(), false);
    for (const group& delegated_group : opened.groups)
    {
        if (delegated_group.outcome.signatures.empty())
        {
            continue;
        }
        missing.insert(missing.end(), delegated_group.outcome.missing_shards.begin(),
                       delegated_group.outcome.missing_shards.end());
        for (const std::size_t at : delegated_group.parts)
        {
            known_from_group[at] = true;
        }
    }
    for (std::size_t at = 0; at < opened.parts.size(); ++at)
    {
        if (!known_from_group[at] && !opened.parts[at].has_succeeded())
        {
            missing.push_back(opened.parts[at].shard);
        }
    }
    return missing;
}

void router::describe(const open_request& opened, routed_outcome& outcome)
{
    outcome.route = opened.matched_route->name;
    outcome.revision = opened.revision;
    outcome.top_records = opened.matched_route->fans_out() ? opened.rules.top_records : 0;
    outcome.attempts = opened.attempts;
    outcome.missing_shards = missing_shards(opened);
}

void router::finish(request_number number, open_request& opened, routed_outcome outcome,
                    std::optional<time_point> now)
{
    describe(opened, outcome);
    for (const std::size_t shard : outcome.missing_shards)
    {
        outcome.missing_services.push_back(opened.matched_route->fan_out.at(shard));
    }
    outcome.reason = opened.reason;
    outcome.runner_delay = now ? runner_delay_of(opened, *now) : duration{};
    abandon_delegations(opened, false);
    m_timers.erase({opened.timer_at, number});
    detach_parts(opened);
    if (opened.request->is_delegated())
    {
        // Without the crash record the delegating entry might delegate the request to another entry.
        outcome.crashes = std::move(opened.crashes);
    }
    note_end(opened, outcome, now);
    m_open.erase(number);
    forget_held(number);
    m_actions.emplace_back(answer_request{number, std::move(outcome)});
}

} // namespace flaxtiller
