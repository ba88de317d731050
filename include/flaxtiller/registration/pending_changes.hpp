#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <vector>

namespace flaxtiller
{

/// @brief Changes of registrations that wait to be sent to receivers of one kind. Deterministic.
class pending_changes
{
  public:
    /// Backend servers that become ready within this time share a message. One that is leaving or left is
    /// reported immediately.
    static constexpr duration batch_window = duration::from_ms(100);

    /// @brief Adds a change, which is due by the rule of @ref batch_window.
    void add(const registration& change, time_point now);

    /// @brief Makes the changes due without waiting for the end of the batch.
    void expedite(time_point now) noexcept;

    /// @return whether changes are to be sent now
    bool is_due(time_point now) const noexcept;

    /// @brief Removes and returns the changes.
    /// @param pause the time before which no further changes are due
    std::vector<registration> take(duration pause, time_point now);

  private:
    std::vector<registration> m_changes;
    time_point m_due_at = time_point::never();
    time_point m_paused_until{};
};

} // namespace flaxtiller
