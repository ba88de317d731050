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

/// @brief A backend server that bears little for now.
struct cold_server
{
    service_name service;
    time_point until{};

    bool operator==(const cold_server&) const = default;
};

/// The cold backend servers, by name.
using cold_servers = std::map<backend_server_name, cold_server>;

/// @brief Knows which registered backend servers are cold, and for how long they could be. Deterministic.
///
/// A word that comes late makes one count as cold for longer than it is, never for less.
class warmup_tracker
{
  public:
    /// @brief A backend server's word, or that it went.
    void on_registration(const registration& report, time_point now);

    /// @brief Backend servers of these availability zones may get work again. They may have turned cold a
    /// moment ago, and their word on it may still be on its way: heartbeats come about every second, and
    /// seconds late. So each counts as cold for as long as its service says, or until it says otherwise.
    /// @param services those of the configuration in force
    /// @complexity O(registered)
    void on_zones_restored(const std::set<std::string>& zones, const std::vector<registration>& registered,
                       const std::map<service_name, service>& services, time_point now);

    /// @return those that are cold now; the same object while nothing changed
    const shared_value<cold_servers>& current(time_point now);

  private:
    void mark_cold(const backend_server_name& server, const cold_server& cold);
    void unmark(const backend_server_name& server);

    cold_servers m_cold;
    shared_value<cold_servers> m_current;
    bool m_is_current = true;
};

} // namespace flaxtiller
