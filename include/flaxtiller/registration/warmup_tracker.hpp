#pragma once

#include <flaxtiller/catalog/service.hpp>
#include <flaxtiller/core/shared_value.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A backend server that has a reduced capacity until its warm-up ends.
struct cold_server
{
    service_name service;
    time_point until{};

    bool operator==(const cold_server&) const = default;
};

/// The cold backend servers, by name.
using cold_servers = std::map<backend_server_name, cold_server>;

/// @brief Tracks which registered backend servers are cold, and the latest time at which they become warm.
/// Deterministic.
///
/// A delayed report extends the time for which a backend server counts as cold; it never shortens it.
class warmup_tracker
{
  public:
    /// @brief Handles a new report of a backend server, or its loss or deregistration.
    void on_registration(const registration& report, time_point now);

    /// @brief Marks the backend servers of availability zones cold that may receive work again.
    ///
    /// A backend server may have become cold a moment ago while the report of it is still in transit:
    /// heartbeats are sent about once per second and may arrive seconds later. Each backend server therefore
    /// counts as cold for the warm-up time of its service, or until it reports otherwise.
    /// @param services the services of the configuration in force
    /// @complexity O(registered)
    void on_zones_restored(const std::set<std::string>& zones, const std::vector<registration>& registered,
                           const std::map<service_name, service>& services, time_point now);

    /// @return the backend servers that are cold now; the same object as before if nothing has changed
    const shared_value<cold_servers>& current(time_point now);

  private:
    void mark_cold(const backend_server_name& server, const cold_server& cold);
    void unmark(const backend_server_name& server);

    cold_servers m_cold;
    shared_value<cold_servers> m_current;
    bool m_is_current = true;
};

} // namespace flaxtiller
