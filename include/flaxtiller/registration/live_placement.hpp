#pragma once

#include <flaxtiller/catalog/placer.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief The placement of the configuration in force with the backend servers that registered beside those
/// that it declares. Deterministic.
///
/// A registration costs what it changes; another configuration costs all, but services that come out the same
/// stay shared with the placement before, so that nobody has to look at them again.
class live_placement
{
  public:
    /// @brief Another configuration.
    /// @param registered all backend servers that are registered now; each change since was applied
    void configure(std::int64_t revision, const configuration& value,
                   const std::vector<registration>& registered);

    /// @brief Registrations that changed, in their order.
    void apply(const std::vector<registration>& changes);

    /// @return the placement now; the same object while nothing changed
    std::shared_ptr<const placement> current();

  private:
    void apply_one(const registration& change);

    placer m_placer;
    shared_map<service_name, service> m_services;
    shared_map<std::string, placement_rule> m_rules;
    std::set<std::string> m_evacuated_zones;
    /// A registered backend server stands before a declared one of the same name.
    shared_map<backend_server_name, backend_server> m_declared;
    std::shared_ptr<const placement> m_current = std::make_shared<const placement>();
    bool m_is_current = true;
};

} // namespace flaxtiller
