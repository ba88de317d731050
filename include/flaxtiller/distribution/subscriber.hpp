#pragma once

#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/distribution/revision_update.hpp>

#include <memory>
#include <optional>

namespace flaxtiller::distribution
{

/// @brief The active configuration of an instance, updated by the messages of a @ref publisher.
///
/// The active revision never decreases. The instance may serve only after a leader of the control replicas
/// has confirmed its revision. The class is a deterministic state machine without I/O.
class subscriber
{
  public:
    /// @brief Processes an update from a control replica or a relaying instance.
    /// @return whether a greater revision was activated. The configuration of another deployment never is.
    bool on_update(const revision_update& update);

    /// @brief Processes a leader's confirmation of the current revision.
    void on_confirmation(const revision_confirmation& confirmation, time_point now);

    /// @return the report for the publisher that the instance follows
    revision_report report() const;

    /// @return the active configuration
    const std::shared_ptr<const configuration>& current() const noexcept;

    /// @return the active revision; 0 before the first one
    std::int64_t revision() const noexcept;

    /// @return whether the instance may serve: its active revision has at some time reached the revision that
    /// a leader confirmed as the current one
    bool is_confirmed() const noexcept;

    /// @return the time since a leader last confirmed the active revision; an empty optional before the first
    /// confirmation
    std::optional<duration> age(time_point now) const;

  private:
    std::shared_ptr<const configuration> m_current = std::make_shared<const configuration>();
    std::int64_t m_revision = 0;
    std::uint64_t m_digest = 0;
    bool m_needs_whole = false;
    bool m_confirmed = false;
    std::int64_t m_current_revision = 0;
    std::optional<time_point> m_confirmed_at;
};

} // namespace flaxtiller::distribution
