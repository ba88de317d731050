#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/distribution/change_bounds.hpp>
#include <flaxtiller/distribution/leader_contact.hpp>

#include <algorithm>

namespace flaxtiller::distribution
{

/// @brief For how long a leader's confirmation of the active configuration proves what this configuration
/// lacks.
///
/// After the agreed time for changes, a leader may have told callers of a change that this instance should
/// have. The time is never shorter than that after which contact with the leader counts as lost; otherwise
/// instances that report rarely would refuse requests between two confirmations.
class confirmation_validity
{
  public:
    explicit confirmation_validity(const change_bounds& bounds) noexcept : m_apply(bounds.apply)
    {
    }

    /// @return the time from a confirmation to the end of its validity
    /// @param report_interval the interval at which the leader expects reports, and confirms them
    duration time(duration report_interval) const noexcept
    {
        return std::max(m_apply, report_interval * leader_contact::missed_reports_until_lost);
    }

  private:
    /// Zero if no time is agreed.
    duration m_apply;
};

} // namespace flaxtiller::distribution
