#pragma once

#include "http/http_server.hpp"
#include "process/settings.hpp"
#include "process/settings_reload.hpp"

#include <flaxtiller/catalog/change.hpp>
#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <memory>

namespace flaxtiller::shell
{

/// @brief The `control` process, one replica of the control plane.
///
/// The process holds one replica each of the replicated logs of the catalog, which is the history of the
/// configuration, and of the register, which records the outcomes of requests that must not be repeated. It
/// distributes the configuration and the registrations of backend servers to the entries, serves operators
/// over HTTP, and enforces the rate limits of teams together with the entries.
class control_process
{
  public:
    /// @param source where the settings were read, and are read again while no leader is known
    control_process(control_settings settings, settings_source source);
    ~control_process();
    control_process(const control_process&) = delete;
    control_process& operator=(const control_process&) = delete;

    /// @brief Opens the data folder and restores the state in it.
    /// @return the findings; the process must not run if they contain an error
    findings open();

    /// @brief Creates new logs in the empty folders of this replica, with this replica as the only member.
    findings bootstrap_logs();

    /// @brief Listens at the addresses of the settings and serves until SIGTERM or SIGINT arrives.
    /// @return the exit status
    int run();

    // ------------------------------------------------------------------ for platform adapters

    using gateway_handler =
        std::function<void(control_process&, const http_request&, const http_server::respond&)>;

    /// @brief Serves HTTP at an additional address. The @a handler is called on the strand of this process
    /// and may call the functions below.
    findings serve(const address& at, gateway_handler handler);

    /// @return the limits on a configuration that an operator sends
    document_bounds configuration_bounds() const;

    /// @brief Proposes a change to the catalog log.
    /// @param done is called when the change is committed, or with an error when that is uncertain
    void submit(change requested, std::function<void(std::error_code, const change_result&)> done);

    /// @return whether this replica is sure that the change has made one of the revisions that are kept
    bool has_made(const change_id& id) const;

    /// @return the revision that this replica holds
    std::int64_t revision() const;

    /// @return the current configuration, or null if this replica can't be sure that its configuration is
    /// current
    const configuration* current() const;

    /// @return whether this replica is the leader of the catalog log, which accepts changes
    bool leads() const;

    /// @return the name of the leader as known to this replica; empty if no leader is known
    std::string leader() const;

    /// @return whether the settings contain this availability zone; true for any name if they contain none
    bool knows_zone(const std::string& zone) const;

    /// @brief Handles the heartbeat of a backend server.
    /// @return whether the heartbeat is confirmed; else the backend server must send it to another replica,
    /// since this one can pass it on to nobody
    [[nodiscard]] bool heartbeat(const registration& report);

    /// @brief Handles the deregistration of a backend server.
    /// @param born_ms the start time of the run that ends; 0 for the known run
    /// @param done called with whether the deregistration is confirmed: it is remembered whichever minority
    /// of the replicas ends or loses its data, and also if all of them end
    void deregister(const backend_server_name& id, std::int64_t born_ms, std::function<void(bool)> done);

  private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
