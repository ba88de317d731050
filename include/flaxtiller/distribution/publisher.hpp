#pragma once

#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/distribution/revision_update.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace flaxtiller::distribution
{

/// @brief Brings revisions to the instances below it: a leader's, or a relay's. Deterministic.
///
/// Sends a patch where it still has the instance's revision and the whole document where not, and sends again
/// what an instance that lives doesn't put in force.
class publisher
{
  public:
    /// Revisions kept to make patches of.
    static constexpr std::size_t revisions_kept = 16;
    /// An update is sent again if a report that came this long after it still names an older revision; each
    /// further time after twice as long. A large one takes a small instance most of a second, and links lose
    /// nothing unless they break.
    static constexpr duration resend_after = duration::from_ms(1500);
    /// Nothing is sent to an instance that wasn't heard for this long: it is down, or it follows another
    /// replica and its word on that was lost. Three reports of a second may be late. Updates that
    /// were sent on and on to instances which had left for a nearer replica were most of 703 MB that 65
    /// entries and their replicas sent in 70 s: 580 MB of updates then, 110 MB since.
    static constexpr duration follower_age = duration::from_ms(3500);

    /// @brief What is known of one instance.
    struct standing
    {
        std::int64_t in_force = 0;
        bool needs_whole = false;
        /// Whether it follows this publisher.
        bool wants_updates = true;
        time_point heard_at{};
        std::int64_t sent = 0;
        time_point sent_at{};
        /// How long the instance has to put what was sent in force.
        duration patience{};
    };

    struct outgoing
    {
        instance_name to;
        /// One object for all that get the same: a copy for each of 20 followers held 25 MB of a replica for
        /// a configuration of 110 kB.
        std::shared_ptr<const revision_update> update;
    };

    /// @brief A greater revision is the present one.
    void on_revision(std::int64_t revision, std::shared_ptr<const configuration> value);

    /// @brief An instance told what it has in force.
    void on_report(const instance_name& from, const revision_report& report, time_point now);

    /// @brief An instance is gone for good.
    void forget(const instance_name& instance);

    /// @return updates to send now
    /// @complexity O(reports since the last call), and O(instances) once for each revision: a leader of a
    /// thousand instances gets hundreds of reports a second
    std::vector<outgoing> take_updates(time_point now);

    /// @return how many instances were looked at by @ref take_updates since the beginning
    std::uint64_t instances_looked_at() const noexcept
    {
        return m_looked_at;
    }

    /// @return each instance's revision and when it was last heard of
    const std::map<instance_name, standing>& instances() const noexcept;

    /// @return the number of instances heard from since @a since
    int heard_since(time_point since) const;

    std::int64_t revision() const noexcept;

    /// @return the present revision's configuration, or null before the first one
    std::shared_ptr<const configuration> present() const noexcept;

  private:
    struct kept
    {
        std::int64_t revision = 0;
        std::shared_ptr<const configuration> value;
    };

    std::uint64_t digest_from(const configuration& before, const configuration& now) const;
    bool needs_update(const standing& known, time_point now) const;
    const kept* find(std::int64_t revision) const;
    std::shared_ptr<const revision_update> update_from(std::int64_t base);

    std::deque<kept> m_kept;
    std::uint64_t m_digest = 0;
    /// Updates to the present revision by their base, made once for all instances.
    std::map<std::int64_t, std::shared_ptr<const revision_update>> m_updates;
    std::map<instance_name, standing> m_instances;
    /// Those that an update may be due for.
    std::set<instance_name> m_to_look_at;
    std::uint64_t m_looked_at = 0;
};

} // namespace flaxtiller::distribution
