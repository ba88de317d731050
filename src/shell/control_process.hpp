#pragma once

#include "settings.hpp"

#include <memory>

namespace flaxtiller::shell
{

/// @brief The `control` process: one replica of the replicated logs of the configuration and of the register.
class control_process
{
  public:
    explicit control_process(control_settings settings);
    ~control_process();
    control_process(const control_process&) = delete;
    control_process& operator=(const control_process&) = delete;

    /// @brief Takes its addresses and reads its data folder.
    /// @return findings; with an error the process must not run
    findings open();

    /// @brief Makes this replica's empty folders the first and only member of new logs.
    findings found_logs();

    /// @brief Serves until it is told to stop by SIGTERM or SIGINT.
    /// @return the exit status
    int run();

  private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
