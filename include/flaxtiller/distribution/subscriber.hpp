#pragma once

#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/distribution/revision_update.hpp>

#include <memory>
#include <optional>

namespace flaxtiller::distribution
{

/// @brief What an instance has in force. It never goes back to a smaller revision, and it serves only after a
/// quorum's leader confirmed its revision. Deterministic.
class subscriber
{
  public:
    /// @brief A revision arrived, from a leader or a relay.
    /// @return whether a greater revision came into force
    bool on_update(const revision_update& update);

    /// @brief A leader said, under its lease, which revision is the present one.
    void on_confirmation(const revision_confirmation& confirmation, time_point now);

    /// @return what to tell upstream
    revision_report report() const;

    /// @return the configuration in force
    const std::shared_ptr<const configuration>& current() const noexcept;

    std::int64_t revision() const noexcept;

    /// @return whether it may serve: its revision was the present one when it was last confirmed first
    bool is_confirmed() const noexcept;

    /// @return how long ago a leader last confirmed the revision in force; nothing before the first time
    std::optional<duration> age(time_point now) const;

  private:
    std::shared_ptr<const configuration> m_current = std::make_shared<const configuration>();
    std::int64_t m_revision = 0;
    std::uint64_t m_digest = 0;
    bool m_needs_whole = false;
    bool m_confirmed = false;
    std::int64_t m_wanted = 0;
    std::optional<time_point> m_confirmed_at;
};

} // namespace flaxtiller::distribution
