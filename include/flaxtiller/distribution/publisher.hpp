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

/// @brief Distributes configuration revisions from a control replica, or from an instance that relays them,
/// to the instances that follow it.
///
/// An instance receives a patch if the publisher still has the instance's revision, and the complete document
/// otherwise. An update is repeated while the instance reports an older revision. The class is a
/// deterministic state machine without I/O.
class publisher
{
  public:
    /// The number of revisions kept as a base of patches.
    static constexpr std::size_t max_retained_revisions = 16;
    /// An update is repeated if a report that is received this long after it still names an older revision;
    /// the time doubles with each repetition. A small instance needs up to a second for a large update, and
    /// updates are lost only with their link; see @ref on_link_lost.
    static constexpr duration resend_after = duration::from_ms(1500);
    /// The time without a report after which an instance receives no updates, because it is down, or follows
    /// another replica and its report of that was lost. At one report per second, three reports may be late.
    /// Without this limit, updates to instances that had changed to a nearer replica were repeated without
    /// end: 580 MB of the 703 MB that 65 entries and their replicas sent in 70 s, and 110 MB with it.
    static constexpr duration follower_timeout = duration::from_ms(3500);

    /// @brief The state of one instance as known from its reports and the updates sent to it.
    struct instance_state
    {
        /// The revision of the configuration that the instance uses.
        std::int64_t active_revision = 0;
        /// Whether the instance needs the complete document rather than a patch.
        bool needs_whole = false;
        /// Whether the instance follows this publisher.
        bool wants_updates = true;
        time_point last_report_at{};
        std::int64_t sent_revision = 0;
        time_point sent_at{};
        /// The time after which an update is repeated if the instance has not activated it.
        duration resend_timeout{};
    };

    /// @brief An update to send to an instance.
    struct outgoing
    {
        instance_name to;
        /// The update, shared by all instances that receive the same one. With a copy for each of 20
        /// followers, a configuration of 110 kB took 25 MB of a replica's memory.
        std::shared_ptr<const revision_update> update;
    };

    /// @brief Sets the current revision. A revision that is not greater than the present one is ignored.
    void on_revision(std::int64_t revision, std::shared_ptr<const configuration> value);

    /// @brief Processes an instance's report of its active revision.
    void on_report(const instance_name& from, const revision_report& report, time_point now);

    /// @brief Processes the loss of the link to an instance, with which updates in transit may be lost.
    void on_link_lost(const instance_name& instance);

    /// @brief Removes an instance that will not return.
    void forget(const instance_name& instance);

    /// @brief Returns the updates to send now.
    /// @complexity O(reports since the last call), and O(instances) once for each revision, as a leader of a
    /// thousand instances receives hundreds of reports per second.
    std::vector<outgoing> take_updates(time_point now);

    /// @return the number of instances that @ref take_updates has checked since construction
    std::uint64_t instances_checked() const noexcept
    {
        return m_instances_checked;
    }

    /// @return the states of the instances, by name
    const std::map<instance_name, instance_state>& instances() const noexcept;

    /// @return the number of instances whose last report was received at @a since or later
    int reporting_since(time_point since) const;

    /// @return the current revision; 0 before the first one
    std::int64_t revision() const noexcept;

    /// @return the current revision's configuration, or null before the first one
    std::shared_ptr<const configuration> current_configuration() const noexcept;

  private:
    struct retained_revision
    {
        std::int64_t revision = 0;
        std::shared_ptr<const configuration> value;
    };

    std::uint64_t digest_from(const configuration& before, const configuration& now) const;
    bool needs_update(const instance_state& known, time_point now) const;
    const retained_revision* find(std::int64_t revision) const;
    std::shared_ptr<const revision_update> update_from(std::int64_t base);

    std::deque<retained_revision> m_retained;
    std::uint64_t m_digest = 0;
    /// The updates to the current revision, by their base revision, created once for all instances.
    std::map<std::int64_t, std::shared_ptr<const revision_update>> m_updates;
    std::map<instance_name, instance_state> m_instances;
    /// The instances for which an update may be due.
    std::set<instance_name> m_instances_to_check;
    std::uint64_t m_instances_checked = 0;
};

} // namespace flaxtiller::distribution
