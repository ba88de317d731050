#pragma once

#include <algorithm>

namespace flaxtiller
{

/// @brief The part of the objective that estimates leave free, adapted to how often estimates were too
/// optimistic: attempts that wait at backend servers, for example, are in no queue of this instance.
///
/// The margin settles where a fixed share of the requests that were expected to wait and to meet their
/// objective miss it.
class completion_margin
{
  public:
    /// The share of these requests that may miss their objective.
    static constexpr double accepted_misses = 0.02;
    /// The change of the margin by a miss. A request in time changes it so much less that both balance at the
    /// accepted share.
    static constexpr double miss_step = 0.02;
    /// The margin before the first observation.
    static constexpr double initial_share = 0.15;
    /// The greatest margin. Requests for which slots are free are admitted whatever the margin.
    static constexpr double max_share = 0.5;

    /// @brief Takes in the end of a request that was expected to wait and to meet its objective.
    void observe(bool met_objective)
    {
        const double change =
            met_objective ? -miss_step * accepted_misses / (1.0 - accepted_misses) : miss_step;
        m_share = std::clamp(m_share + change, 0.0, max_share);
    }

    /// @return the part of the objective to leave free
    double share() const noexcept
    {
        return m_share;
    }

  private:
    double m_share = initial_share;
};

} // namespace flaxtiller
