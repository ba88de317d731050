#pragma once

#include "link_endpoint.hpp"
#include "link_message.hpp"
#include "metrics.hpp"
#include "settings.hpp"

#include <flaxtiller/core/clock.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @brief A message as it is sent.
struct encoded_message
{
    explicit encoded_message(const link_message& message)
        : kind(message.index()), bytes(std::make_shared<const std::string>(encode(message)))
    {
    }

    std::size_t kind = 0;
    std::shared_ptr<const std::string> bytes;
};

/// @brief The links of this process to its peers, by name: makes them, keeps them up, tells which peers live.
///
/// A peer is reachable while something of it was heard within the silence bound: a frozen or cut-off peer
/// stops being reachable although its connection still stands. Thread-safe; handlers run on the link thread
/// or the thread that calls @ref tick.
class peer_links
{
  public:
    struct handlers
    {
        /// Shared, so that whoever handles it later copies neither: a whole configuration is a large tree.
        std::function<void(const std::shared_ptr<const hello>& from,
                           const std::shared_ptr<const link_message>& message)>
            received;
        std::function<void(const std::string& name, bool reachable)> reachable;
    };

    peer_links(hello self, metrics& counted, link_timing timing, handlers told);

    /// @brief Accepts links. @return false, with @a why set, if the address can't be used
    bool listen(const address& at, std::string& why);

    void start();

    /// @brief Links to these peers are made and kept up; those to others that were wanted before are closed.
    void want(const std::vector<named_address>& peers);

    /// @brief Sends to a peer; nothing happens if there is no link.
    void send(const std::string& name, const link_message& message);

    /// @brief Sends the same to several peers; it is encoded once.
    void send(const std::vector<std::string>& names, const link_message& message);

    /// @brief Makes missing links, sends heartbeats where nothing else was sent, notices silence. Call at
    /// least twice a heartbeat.
    void tick();

    /// @return what a peer said of itself when its link was made, or nothing
    std::optional<hello> identity(const std::string& name) const;

    /// @return names of the peers that can be reached
    std::set<std::string> reachable() const;

  private:
    using link_id = link_endpoint::link_id;

    /// A peer that starts at the same moment listens within this; the pause doubles up to the longest one.
    static constexpr duration first_dial_pause = duration::from_ms(20);
    static constexpr duration longest_dial_pause = duration::from_ms(200);
    /// A dial on which nothing was heard for this long is tried anew: several round trips between regions and
    /// a start on a busy instance. A machine without power says nothing, and the system itself tries again
    /// only after a second.
    static constexpr duration first_dial_bound = duration::from_ms(300);
    /// It doubles with each try up to this, so that a peer that is merely slow, perhaps since very many dial
    /// it at once, is asked less and less, and reached in the end.
    static constexpr duration longest_dial_bound = duration::from_ms(6000);

    /// What was sent so far is logged this often: a line in ten seconds is nothing beside the requests' own.
    static constexpr duration log_sent_every = duration::from_ms(10000);

    struct peer
    {
        address at;
        bool wanted = false;
        link_id dialled = 0;
        time_point dial_at{};
        time_point dialled_at{};
        /// How long to wait until the next try.
        duration dial_pause = first_dial_pause;
        /// How long a dial may remain without a word.
        duration dial_bound = first_dial_bound;
        /// Links on which the peer said its name; the newest is used.
        std::set<link_id> links;
        time_point heard_at{};
        time_point sent_at{};
        bool reachable = false;

        void lengthen_dial_pause() noexcept
        {
            dial_pause = std::min(dial_pause * 2.0, longest_dial_pause);
        }
    };

    struct link
    {
        /// Whom it was dialled to; empty for one that was accepted.
        std::string dialled;
        /// Its greeting; nothing before that came.
        std::shared_ptr<const hello> from;
    };

    void log_sent(time_point now);
    void on_opened(link_id id);
    void on_closed(link_id id);
    void on_received(link_id id, const std::string& bytes);
    void post(link_id id, const encoded_message& message);
    bool drop_link(const std::string& name, link_id id);

    const hello m_self;
    metrics& m_metrics;
    const link_timing m_timing;
    handlers m_told;
    monotonic_clock m_clock;
    mutable std::mutex m_mutex;
    std::map<std::string, peer> m_peers;
    std::map<link_id, link> m_links;
    /// The thread that ticks only.
    time_point m_log_sent_at{};
    // Last, so that its thread ends before anything it uses is gone.
    link_endpoint m_endpoint;
};

} // namespace flaxtiller::shell
