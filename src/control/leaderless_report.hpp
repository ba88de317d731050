#pragma once

#include "process/log.hpp"

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/replica.hpp>

#include <string>

namespace flaxtiller::shell
{

/// @brief Logs why one of the replicated logs has no leader, at intervals, for as long as this replica knows
/// none.
class leaderless_report
{
  public:
    /// @param log_name the name of the log in the lines
    explicit leaderless_report(std::string log_name);

    /// @brief Logs a line if one is due. Must be called regularly.
    /// @param node the replica, or a null pointer while its storage fails
    void update(const quorum::replica* node, time_point now);

    /// @return since when no leader is known; @ref time_point::never while one is
    time_point since() const noexcept;

  private:
    std::string m_log_name;
    time_point m_since = time_point::never();
    time_point m_next_line_at{};
};

} // namespace flaxtiller::shell
