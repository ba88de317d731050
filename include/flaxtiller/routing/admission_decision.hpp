#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/routing/completion_estimate.hpp>

#include <cstddef>

namespace flaxtiller
{

/// @brief Whether the router admitted a request at its arrival, with the inputs of the decision.
struct admission_decision
{
    enum class verdict
    {
        admitted,
        /// Admitted, but expected to be answered after its objective.
        admitted_late,
        /// Refused: expected after the deadline.
        past_deadline,
        /// Refused: expected after the objective, and would delay requests that can meet theirs.
        past_objective,
        /// Refused: too many open requests.
        too_many_open,
    };

    verdict decided = verdict::admitted;
    completion_estimate::result expected{};
    /// The times from arrival to the objective and to the deadline.
    duration objective{};
    duration deadline{};
    /// The part of the objective that the estimate had to leave free.
    double margin = 0.0;
    /// The bound on open requests, and their number.
    std::size_t bound = 0;
    std::size_t open = 0;
    duration processing_delay{};
    int priority = 0;

    bool operator==(const admission_decision&) const = default;

    bool is_admitted() const noexcept
    {
        return decided == verdict::admitted || decided == verdict::admitted_late;
    }
};

} // namespace flaxtiller
