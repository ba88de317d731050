#include "linked_peer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flaxtiller::shell
{

void linked_peer::on_message(bool is_handshake, time_point now) noexcept
{
    last_received_at = now;
    paused = duration{};
    dial_backoff = initial_dial_backoff;
    dial_timeout = initial_dial_timeout;
    silent_redials = is_handshake ? silent_redials : 0;
}

void linked_peer::on_pause(duration span, time_point now) noexcept
{
    if (paused == duration{})
    {
        paused = std::min(span, now - last_received_at);
    }
    dialled_at = std::min(dialled_at + span, now);
}

void linked_peer::on_dial(link_id id, time_point now) noexcept
{
    next_dial_at = now + dial_backoff;
    dialled_at = now;
    dialled = id;
}

void linked_peer::redial() noexcept
{
    dialled = 0;
    dial_backoff = std::min(dial_backoff * 2.0, max_dial_backoff);
}

void linked_peer::on_refused(time_point now) noexcept
{
    dialled = 0;
    next_dial_at = now + refused_dial_interval;
}

void linked_peer::give_up_silent_link(const link_timing& timing, time_point now) noexcept
{
    // Without a dialled link, messages may still arrive on a link that the peer dialled, or on a link that
    // carries nothing in the other direction.
    const bool waits_for_dial = last_received_at < dialled_at || is_deaf;
    const duration since_dial = now - dialled_at;
    const duration limit = waits_for_dial ? dial_timeout : timing.redial * std::exp2(silent_redials);
    const duration waited = waits_for_dial ? since_dial : std::min(silent_for(now), since_dial);
    if (dialled == 0 || waited <= limit)
    {
        return;
    }
    if (waits_for_dial)
    {
        const duration longest = std::max(timing.redial * max_redials_per_dial, initial_dial_timeout);
        dial_timeout = std::min({dial_timeout * 2.0, longest, max_dial_timeout});
    }
    else
    {
        silent_redials = std::min(silent_redials + 1, max_redial_doublings);
    }
    redial();
}

bool linked_peer::is_heartbeat_due(const link_timing& timing, time_point now) const noexcept
{
    // The peer learns only by heartbeats that its messages don't arrive, so that other messages don't replace
    // them.
    const time_point last = is_silence_to_report(timing, now) ? last_heartbeat_at : last_sent_at;
    return !links.empty() && now - last >= timing.heartbeat;
}

void linked_peer::on_reported_silence(duration received_nothing_for, const link_timing& timing,
                                      time_point now) noexcept
{
    // Reports from before the newest link was opened may still arrive.
    const bool deaf = received_nothing_for > timing.silence && now - opened_at > timing.silence;
    const bool was_deaf = std::exchange(is_deaf, deaf);
    if (deaf && !was_deaf && dialled != 0)
    {
        redial();
    }
}

} // namespace flaxtiller::shell
