#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/routing/routed_outcome.hpp>

namespace flaxtiller
{

/// @brief How a request is answered whose route or key the active configuration lacks. The class is
/// deterministic and reads no clock.
///
/// That something doesn't exist is only true of the present configuration. Once no leader has confirmed the
/// active one for too long, such a request is refused as not run, since another entry may know the target.
class absence_rule
{
  public:
    /// The retry delay of a request that is refused for this reason: short, as most other entries are in
    /// contact with the leader.
    static constexpr duration retry_after = duration::from_ms(200);

    /// @brief Sets until when the active configuration counts as the present one. Without a call, always.
    void set_confirmed_until(time_point until) noexcept
    {
        m_confirmed_until = until;
    }

    /// @return an outcome without details
    static routed_outcome outcome_of(routed_end end)
    {
        routed_outcome result;
        result.end = end;
        return result;
    }

    /// @param absence the answer if the target doesn't exist
    /// @return @a absence, or a refusal if the configuration isn't confirmed at @a now
    routed_outcome outcome(routed_end absence, time_point now) const
    {
        routed_outcome result = outcome_of(absence);
        if (now >= m_confirmed_until)
        {
            result.end = routed_end::refused;
            result.reason = missing_reason::unconfirmed;
            result.retry_after = retry_after;
        }
        return result;
    }

  private:
    time_point m_confirmed_until = time_point::never();
};

} // namespace flaxtiller
