#pragma once

#include "http/address.hpp"
#include "link_endpoint.hpp"
#include "link_timing.hpp"

#include <flaxtiller/core/time_point.hpp>

#include <set>

namespace flaxtiller::shell
{

/// @brief What a process knows of one of its peers: the links to it, when messages arrived and were sent, and
/// the state of the dials to it. Without I/O and clock; see @ref peer_links.
struct linked_peer
{
    using link_id = link_endpoint::link_id;

    /// The wait between two dials starts with this, since a peer that starts at the same moment accepts links
    /// within this time. It doubles with each failed dial up to the maximum.
    static constexpr duration initial_dial_backoff = duration::from_ms(20);
    static constexpr duration max_dial_backoff = duration::from_ms(200);
    /// A dial on which no message arrives for this long is given up and repeated. The time covers several
    /// round trips between regions and the start of a process on a busy instance. An instance without power
    /// doesn't refuse the connection, and the operating system repeats its own attempt only after a second.
    static constexpr duration initial_dial_timeout = duration::from_ms(300);
    /// The time limit of a dial doubles with each dial that is given up, to this maximum, and to this
    /// multiple of the time of a silent link: a peer that was cut off is reached within that. A peer that is
    /// only slow, for example because many processes dial it at once, is thus dialled less and less often,
    /// and its link is established in the end.
    static constexpr duration max_dial_timeout = duration::from_ms(6000);
    static constexpr double max_redials_per_dial = 2.0;

    /// The wait until an address is dialled again at which a process of another deployment answered. A dial
    /// costs little beside the heartbeats of that time, and the address may become one of this deployment.
    static constexpr duration refused_dial_interval = duration::from_ms(5000);

    /// The time until a silent link is replaced doubles with each new link that carried nothing but a
    /// handshake, at most this often. The process of the peer then stands still, for example at its disk.
    static constexpr int max_redial_doublings = 3;
    /// A peer is informed that nothing arrives from it after this many heartbeat intervals.
    static constexpr double heartbeats_until_reported = 2.0;

    address at;
    /// Whether this process dials the peer and keeps a link to it.
    bool wanted = false;
    /// The link that this process dialled, open or not; 0 if there is none.
    link_id dialled = 0;
    /// Earliest time of the next dial.
    time_point next_dial_at{};
    time_point dialled_at{};
    /// Wait until the next dial.
    duration dial_backoff = initial_dial_backoff;
    /// Time within which a message from the peer must arrive after a dial.
    duration dial_timeout = initial_dial_timeout;
    /// Links on which the peer sent its handshake; messages are sent on the newest of them.
    std::set<link_id> links;
    time_point last_received_at{};
    /// The part of the silence during which this process was paused.
    duration paused;
    /// The number of new links in succession that carried nothing but a handshake.
    int silent_redials = 0;
    time_point last_sent_at{};
    time_point last_heartbeat_at{};
    /// When the newest link was opened.
    time_point opened_at{};
    /// Whether the peer reported that it receives nothing on the open links.
    bool is_deaf = false;
    bool reachable = false;

    /// @return the time for which nothing arrived while this process ran
    duration silent_for(time_point now) const noexcept
    {
        return now - last_received_at - paused;
    }

    /// @brief Records that a message arrived.
    /// @param is_handshake whether it is the handshake of a link, which shows less of the peer's process: its
    /// transport may answer although it stands still
    void on_message(bool is_handshake, time_point now) noexcept;

    /// @brief Records that this process was paused. Messages of the peer wait in the buffers of the links.
    /// Only the first pause since the last message is left out of the silence: a message that waited during
    /// that pause has been read by the next one.
    void on_pause(duration span, time_point now) noexcept;

    /// @return whether a link is to be dialled now
    bool is_dial_due(time_point now) const noexcept
    {
        return wanted && dialled == 0 && now >= next_dial_at;
    }

    /// @brief Records a dial.
    void on_dial(link_id id, time_point now) noexcept;

    /// @brief Gives up the dialled link if the dial or the open link is silent for too long. The open links
    /// are kept; a new one is dialled beside them.
    void give_up_silent_link(const link_timing& timing, time_point now) noexcept;

    /// @brief Forgets the dialled link, so that another one is dialled after the wait.
    void redial() noexcept;

    /// @brief Forgets the dialled link, which led to a process of another deployment.
    void on_refused(time_point now) noexcept;

    /// @return whether the peer must be informed that nothing arrives from it
    bool is_silence_to_report(const link_timing& timing, time_point now) const noexcept
    {
        return silent_for(now) > timing.heartbeat * heartbeats_until_reported;
    }

    /// @return whether a heartbeat is to be sent now
    bool is_heartbeat_due(const link_timing& timing, time_point now) const noexcept;

    /// @brief Processes the peer's report of the time for which it received nothing. If that is too long, the
    /// open links carry messages in one direction only, and a new one is dialled.
    void on_reported_silence(duration received_nothing_for, const link_timing& timing,
                             time_point now) noexcept;
};

} // namespace flaxtiller::shell
