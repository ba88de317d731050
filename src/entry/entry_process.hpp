#pragma once

#include "shell/http_server.hpp"
#include "shell/service_runner.hpp"
#include "shell/settings.hpp"

#include <flaxtiller/core/rcu_cell.hpp>
#include <flaxtiller/distribution/subscriber.hpp>

#include <memory>
#include <string>

namespace flaxtiller::shell
{

/// @brief The `entry` process: serves callers, runs the decisions, follows the configuration.
class entry_process
{
  public:
    explicit entry_process(entry_settings settings);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// @brief Takes its addresses.
    /// @return findings; with an error the process must not run
    findings open();

    /// @brief Serves until it is told to stop by SIGTERM or SIGINT and what is in flight has ended.
    /// @return the exit status
    int run();

    // ------------------------------------------------------------------ for an adapter

    using gateway_handler = std::function<http_reply(const entry_process&, const http_request&)>;

    /// @brief Serves HTTP at a further address by @a handler, which is called from any thread.
    findings serve(const address& at, gateway_handler handler);

    /// @return whether new callers shall come: a leader confirmed its configuration, and it isn't stopping
    bool is_ready() const;

  private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
