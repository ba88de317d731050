#pragma once

#include "shell/http_server.hpp"
#include "shell/settings.hpp"

#include <flaxtiller/catalog/change.hpp>
#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/registration/registration.hpp>

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
    findings bootstrap_logs();

    /// @brief Serves until it is told to stop by SIGTERM or SIGINT.
    /// @return the exit status
    int run();

    // ------------------------------------------------------------------ for an adapter

    using gateway_handler =
        std::function<void(control_process&, const http_request&, const http_server::respond&)>;

    /// @brief Serves HTTP at a further address by @a handler, which is called on the strand of the decisions.
    /// The calls below are for such a handler.
    findings serve(const address& at, gateway_handler handler);

    /// @brief Puts a change into the log; @a done is called once it is committed, or can't be known to be.
    void submit(change requested, std::function<void(std::error_code, const change_result&)> done);

    /// @return the present configuration, if this replica can be sure that it is the present one
    const configuration* current() const;

    /// @return whether this replica leads and may take changes
    bool leads() const;

    /// @return the name of the replica that leads as far as this one knows; empty if none does
    std::string leader() const;

    /// @return whether the settings name this availability zone; true for all where they name none
    bool knows_zone(const std::string& zone) const;

    /// @brief A backend server's heartbeat.
    void heartbeat(const registration& report);

    /// @brief A backend server's last word.
    /// @param born_ms which of its lives ends; 0 for the one that is known
    void deregister(const backend_server_name& id, std::int64_t born_ms);

  private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
