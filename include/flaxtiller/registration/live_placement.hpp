#pragma once

#include <flaxtiller/catalog/placement_builder.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief The placement of the configuration in force, extended by the backend servers that registered
/// themselves. Deterministic.
///
/// The cost of @ref apply is proportional to the number of changes. @ref configure computes the whole
/// placement again, but keeps sharing each unchanged service with the previous placement, so that its users
/// can skip it.
class live_placement
{
  public:
    /// @brief Sets the configuration in force.
    /// @param registered all backend servers that are registered now, with all changes applied
    void configure(std::int64_t revision, const configuration& value,
                   const std::vector<registration>& registered);

    /// @brief Applies changed registrations in the given order.
    void apply(const std::vector<registration>& changes);

    /// @return the current placement; the same object as before if nothing has changed
    std::shared_ptr<const placement> current();

  private:
    void apply_one(const registration& change);

    placement_builder m_placer;
    shared_map<service_name, service> m_services;
    shared_map<std::string, placement_rule> m_rules;
    std::set<std::string> m_evacuated_zones;
    /// The backend servers that the configuration declares. A registered one takes precedence over a declared
    /// one of the same name.
    shared_map<backend_server_name, backend_server> m_declared;
    std::shared_ptr<const placement> m_current = std::make_shared<const placement>();
    bool m_is_current = true;
};

} // namespace flaxtiller
