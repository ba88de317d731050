#pragma once

#include "http/http_server.hpp"
#include "process/settings.hpp"
#include "process/settings_reload.hpp"
#include "service_runner.hpp"

#include <flaxtiller/core/rcu_cell.hpp>
#include <flaxtiller/distribution/subscriber.hpp>

#include <memory>
#include <string>

namespace flaxtiller::shell
{

/// @brief The `entry` process, which accepts requests from callers and sends them to backend servers.
///
/// An entry receives its configuration and the registered backend servers from the control replicas. It
/// serves callers from the moment a control leader has first confirmed its configuration.
class entry_process
{
  public:
    /// @param source where the settings were read, and are read again while control replicas are searched
    entry_process(entry_settings settings, settings_source source);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// @brief Opens the listening sockets for callers, routed requests, operators and links.
    /// @return findings; if they contain an error, @ref run must not be called
    findings open();

    /// @brief Serves callers until SIGTERM or SIGINT arrives, then drains: answers the requests in flight
    /// within the bounds of the settings. A second signal ends the process at once.
    /// @return the exit status of the process
    int run();

    // ------------------------------------------------------------------ for adapters

    using gateway_handler = std::function<http_reply(const entry_process&, const http_request&)>;

    /// @brief Serves HTTP at an additional address.
    /// @param at the address to listen at
    /// @param handler answers each request; called from any thread, also concurrently
    /// @return findings; with an error if the address can't be used
    findings serve(const address& at, gateway_handler handler);

    /// @return whether the entry accepts new callers: a leader has confirmed its configuration, and the entry
    /// isn't draining
    bool is_ready() const;

  private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
