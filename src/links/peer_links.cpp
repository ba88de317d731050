#include "peer_links.hpp"

#include "process/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::shell
{

peer_links::peer_links(hello self, metrics& link_metrics, link_timing dialled_timing,
                       link_timing accepted_timing, handlers callbacks)
    : m_self(std::move(self)), m_metrics(link_metrics), m_dialled_timing(dialled_timing),
      m_accepted_timing(accepted_timing), m_callbacks(std::move(callbacks)),
      m_endpoint({[this](link_id id)
                  {
                      on_opened(id);
                  },
                  [this](link_id id)
                  {
                      on_closed(id);
                  },
                  [this](link_id id, const std::string& bytes)
                  {
                      on_received(id, bytes);
                  }},
                 max_message_bytes)
{
    m_self.deployment = deployment_id();
}

bool peer_links::listen(const address& at, std::string& why)
{
    return m_endpoint.listen(at.ip, at.port, why);
}

void peer_links::start()
{
    m_endpoint.start();
}

void peer_links::set_deployment(const deployment_id& own)
{
    const std::scoped_lock lock(m_mutex);
    if (!own.is_known() || m_self.deployment == own)
    {
        return;
    }
    m_self.deployment = own;
    const encoded_message greeting{link_message(m_self)};
    const time_point now = m_clock.now();
    for (auto& [id, item] : m_links)
    {
        if (!item.from || !refuse_foreign(id, *item.from, now))
        {
            // The peer may know only now that it is of another deployment. A link that is still being opened
            // gets its first handshake later; the endpoint ignores this one.
            post(id, greeting);
        }
    }
}

bool peer_links::refuse_foreign(link_id id, const hello& greeting, time_point now)
{
    if (!greeting.deployment || !m_self.deployment->is_foreign_to(*greeting.deployment))
    {
        return false;
    }
    link& refused = m_links[id];
    refused.refused = true;
    const auto dialled = m_peers.find(refused.dialled);
    if (dialled != m_peers.end() && dialled->second.dialled == id)
    {
        dialled->second.on_refused(now);
    }
    m_endpoint.close(id);
    deployment_id& reported = m_refused[greeting.name];
    if (reported != *greeting.deployment)
    {
        reported = *greeting.deployment;
        log(log_level::warning, "deployment_refused",
            {{"peer", greeting.name}, {"role", greeting.role}, {"address", greeting.address}});
    }
    return true;
}

void peer_links::set_peers(const std::vector<named_address>& peers)
{
    const std::scoped_lock lock(m_mutex);
    for (auto& [name, known] : m_peers)
    {
        known.wanted = false;
    }
    for (const named_address& item : peers)
    {
        peer& known = m_peers[item.name];
        if (!(known.at == item.at) && known.dialled != 0)
        {
            m_endpoint.close(known.dialled);
            known.dialled = 0;
        }
        if (!(known.at == item.at))
        {
            known.next_dial_at = time_point{};
        }
        known.at = item.at;
        known.wanted = item.name != m_self.name;
    }
    for (auto& [name, known] : m_peers)
    {
        if (!known.wanted && known.dialled != 0)
        {
            m_endpoint.close(known.dialled);
            known.dialled = 0;
        }
    }
}

void peer_links::post(link_id id, const encoded_message& message)
{
    m_metrics.add_link_bytes(message.kind, message.bytes->size());
    m_endpoint.send(id, message.bytes);
}

void peer_links::send(const std::string& name, const link_message& message)
{
    send(std::vector{name}, message);
}

void peer_links::send(const std::vector<std::string>& names, const link_message& message)
{
    if (names.empty())
    {
        return;
    }
    const encoded_message encoded(message);
    const std::scoped_lock lock(m_mutex);
    for (const std::string& name : names)
    {
        const auto found = m_peers.find(name);
        if (found != m_peers.end() && !found->second.links.empty())
        {
            found->second.last_sent_at = m_clock.now();
            post(*found->second.links.rbegin(), encoded);
        }
    }
}

void peer_links::log_sent_bytes(time_point now)
{
    if (now < m_next_log_at)
    {
        return;
    }
    m_next_log_at = now + log_sent_interval;
    std::string sent;
    const auto kinds = m_metrics.link_bytes();
    for (const auto& [kind, bytes] : kinds.items())
    {
        sent += (sent.empty() ? "" : ",") + kind + ":" + std::to_string(bytes.get<std::uint64_t>());
    }
    log(log_level::info, "link_bytes_sent", {{"by_kind", sent}});
}

const link_timing& peer_links::timing_of(const peer& known) const noexcept
{
    return known.wanted ? m_dialled_timing : m_accepted_timing;
}

void peer_links::discount_pause(time_point now)
{
    const time_point last_tick_at = std::exchange(m_last_tick_at, now);
    const duration shortest_heartbeat = std::min(m_dialled_timing.heartbeat, m_accepted_timing.heartbeat);
    if (last_tick_at == time_point::never() ||
        now - last_tick_at <= shortest_heartbeat * max_heartbeats_between_ticks)
    {
        return;
    }
    const duration span = now - last_tick_at;
    log(log_level::info, "links_paused", {{"for_ms", span.ms()}});
    for (auto& [name, known] : m_peers)
    {
        known.on_pause(span, now);
    }
}

void peer_links::maintain_dialled_link(const std::string& name, peer& known, time_point now)
{
    if (known.is_dial_due(now))
    {
        known.on_dial(m_endpoint.connect(known.at.ip, known.at.port), now);
        m_links[known.dialled].dialled = name;
    }
    known.give_up_silent_link(timing_of(known), now);
}

void peer_links::send_heartbeat(peer& known, time_point now)
{
    if (!known.is_heartbeat_due(timing_of(known), now))
    {
        return;
    }
    known.last_sent_at = now;
    known.last_heartbeat_at = now;
    static const encoded_message usual{link_message(heartbeat{})};
    const bool reports = known.is_silence_to_report(timing_of(known), now);
    post(*known.links.rbegin(),
         reports ? encoded_message(link_message(heartbeat{known.silent_for(now)})) : usual);
}

void peer_links::tick()
{
    const time_point now = m_clock.now();
    log_sent_bytes(now);
    std::vector<std::pair<std::string, duration>> silent;
    {
        const std::scoped_lock lock(m_mutex);
        discount_pause(now);
        for (auto& [name, known] : m_peers)
        {
            maintain_dialled_link(name, known, now);
            send_heartbeat(known, now);
            const duration limit = timing_of(known).silence;
            if (known.reachable && known.silent_for(now) > limit)
            {
                known.reachable = false;
                silent.emplace_back(name, known.silent_for(now));
            }
            if (known.silent_for(now) > limit * silences_until_closed)
            {
                close_all(std::exchange(known.links, {}));
            }
        }
    }
    for (const auto& [name, span] : silent)
    {
        log(log_level::warning, "peer_silent", {{"peer", name}, {"for_ms", span.ms()}});
        m_callbacks.reachable(name, false);
    }
}

void peer_links::on_opened(link_id id)
{
    const std::scoped_lock lock(m_mutex);
    m_links[id];
    post(id, encoded_message(link_message(m_self)));
}

bool peer_links::drop_link(const std::string& name, link_id id)
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end())
    {
        return false;
    }
    peer& known = found->second;
    if (known.dialled == id)
    {
        known.next_dial_at = m_clock.now() + known.dial_backoff;
        known.redial();
    }
    if (known.links.erase(id) == 0 || !known.links.empty() || !known.reachable)
    {
        return false;
    }
    known.reachable = false;
    return true;
}

void peer_links::on_closed(link_id id)
{
    // The name that was dialled and the name in the handshake differ if a seed address belongs to a peer of
    // another name.
    std::set<std::string> names;
    std::vector<std::string> lost;
    {
        const std::scoped_lock lock(m_mutex);
        const auto closed = m_links.find(id);
        if (closed == m_links.end())
        {
            return;
        }
        names.insert(closed->second.dialled);
        if (closed->second.from)
        {
            names.insert(closed->second.from->name);
        }
        m_links.erase(closed);
        for (const std::string& name : names)
        {
            if (drop_link(name, id))
            {
                lost.push_back(name);
            }
        }
    }
    for (const std::string& name : lost)
    {
        log(log_level::info, "peer_lost", {{"peer", name}});
        m_callbacks.reachable(name, false);
    }
}

bool peer_links::close_links_of_earlier_runs(peer& known)
{
    const std::uint64_t run = run_of(*known.links.rbegin());
    const auto closed = std::erase_if(known.links,
                                      [&](link_id id)
                                      {
                                          const bool earlier = run_of(id) != run;
                                          if (earlier)
                                          {
                                              m_endpoint.close(id);
                                          }
                                          return earlier;
                                      });
    return closed > 0;
}

std::uint64_t peer_links::run_of(link_id id) const
{
    const auto found = m_links.find(id);
    return found == m_links.end() || !found->second.from ? 0 : found->second.from->run;
}

bool peer_links::open_link(link_id id, const hello& greeting, time_point now)
{
    link& opened = m_links[id];
    opened.from = std::make_shared<const hello>(greeting);
    const bool was_dialled = !opened.dialled.empty();
    peer& known = m_peers[greeting.name];
    known.links.insert(id);
    const bool is_new_run = close_links_of_earlier_runs(known);
    if (known.links.count(id) == 0)
    {
        return false;
    }
    std::set<link_id> same_direction;
    for (const link_id other : known.links)
    {
        const auto found = m_links.find(other);
        if (found != m_links.end() && found->second.dialled.empty() != was_dialled)
        {
            same_direction.insert(other);
        }
    }
    const link_id newest = *same_direction.rbegin();
    same_direction.erase(newest);
    for (const link_id older : same_direction)
    {
        known.links.erase(older);
    }
    close_all(same_direction);
    if (was_dialled)
    {
        // A dial that was given up may be the one that is answered.
        m_peers[opened.dialled].dialled = newest;
    }
    known.opened_at = now;
    known.is_deaf = false;
    return newest == id && (is_new_run || !same_direction.empty());
}

void peer_links::notify(const hello& from, bool reachable)
{
    if (reachable)
    {
        log(log_level::info, "peer_reachable", {{"peer", from.name}, {"role", from.role}});
    }
    else
    {
        log(log_level::info, "peer_lost", {{"peer", from.name}});
    }
    m_callbacks.reachable(from.name, reachable);
}

std::optional<peer_links::arrival> peer_links::record_arrival(link_id id, const hello* greeting,
                                                              const heartbeat* beat)
{
    const std::scoped_lock lock(m_mutex);
    const time_point now = m_clock.now();
    arrival recorded;
    if (m_links[id].refused || (greeting != nullptr && refuse_foreign(id, *greeting, now)))
    {
        return std::nullopt;
    }
    recorded.replaces = greeting != nullptr && open_link(id, *greeting, now);
    const link& current_link = m_links[id];
    if (!current_link.from)
    {
        return std::nullopt;
    }
    recorded.from = current_link.from;
    peer& known = m_peers[recorded.from->name];
    if (known.links.count(id) == 0)
    {
        // The owner was notified that the messages of this link, which is being closed, are lost.
        log(log_level::debug, "message_after_close", {{"peer", recorded.from->name}, {"link", id}});
        return std::nullopt;
    }
    known.on_message(greeting != nullptr, now);
    if (greeting != nullptr)
    {
        log(log_level::info, "link_opened",
            {{"peer", greeting->name}, {"link", id}, {"dialled", !current_link.dialled.empty()}});
    }
    if (beat != nullptr)
    {
        known.on_reported_silence(beat->received_nothing_for, timing_of(known), now);
    }
    recorded.was_reachable = std::exchange(known.reachable, !known.is_deaf);
    recorded.is_reachable = known.reachable;
    return recorded;
}

void peer_links::on_received(link_id id, const std::string& bytes)
{
    auto decoded = decode(bytes);
    if (!decoded)
    {
        log(log_level::warning, "link_message_malformed", {{"link", id}});
        m_endpoint.close(id);
        return;
    }
    const auto message = std::make_shared<const link_message>(std::move(*decoded));
    const auto* greeting = std::get_if<hello>(&*message);
    const auto* beat = std::get_if<heartbeat>(&*message);
    if (greeting != nullptr && greeting->protocol_version != link_protocol_version)
    {
        log(log_level::error, "protocol_version_refused",
            {{"peer", greeting->name}, {"version", greeting->protocol_version}});
        m_endpoint.close(id);
        return;
    }
    const auto recorded = record_arrival(id, greeting, beat);
    if (!recorded)
    {
        return;
    }
    if (recorded->was_reachable && (recorded->replaces || !recorded->is_reachable))
    {
        // What was sent on the older link may be lost.
        notify(*recorded->from, false);
    }
    if (recorded->is_reachable && (recorded->replaces || !recorded->was_reachable))
    {
        notify(*recorded->from, true);
    }
    if (greeting == nullptr && beat == nullptr)
    {
        m_callbacks.received(recorded->from, message);
    }
}

void peer_links::close_all(const std::set<link_id>& links)
{
    for (const link_id id : links)
    {
        m_endpoint.close(id);
    }
}

std::optional<hello> peer_links::identity(const std::string& name) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_peers.find(name);
    if (found == m_peers.end() || found->second.links.empty())
    {
        return std::nullopt;
    }
    const auto newest_link = m_links.find(*found->second.links.rbegin());
    return newest_link == m_links.end() || !newest_link->second.from
               ? std::nullopt
               : std::optional(*newest_link->second.from);
}

std::set<std::string> peer_links::reachable() const
{
    const std::scoped_lock lock(m_mutex);
    std::set<std::string> names;
    for (const auto& [name, known] : m_peers)
    {
        if (known.reachable)
        {
            names.insert(name);
        }
    }
    return names;
}

} // namespace flaxtiller::shell
