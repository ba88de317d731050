#pragma once

#include <flaxtiller/catalog/placement.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace flaxtiller
{

/// @brief Applies one revision's placement rules to backend servers that come, change and go.
///
/// What a backend server changes costs what it touches, not what there is: placing all of them anew for each
/// change was 9% of the processor samples of 24 entries on a day full of changes, and what came of it, a view
/// with nothing shared, another 38%. Services that nothing touched are shared by the placements before and
/// after.
class placer
{
  public:
    placer() = default;

    /// @brief Takes the services and rules of a configuration, but none of its backend servers.
    placer(std::int64_t revision, const configuration& value);

    /// @brief Another revision, with the same services and rules.
    void set_revision(std::int64_t revision) noexcept
    {
        m_placed.revision = revision;
    }

    /// @brief Adds a backend server, or replaces the one of this name. One in an evacuated availability zone
    /// is placed as leaving.
    /// @complexity O(rules that may match + services that it serves)
    void put(const backend_server& server);

    /// @brief Takes a backend server away; nothing happens if it isn't there.
    void remove(const backend_server_name& server);

    /// @return the placement now
    /// @complexity O(services), without looking into those that didn't change
    const placement& current();

    /// @brief Takes the services that came out equal from @a before, so that they are told unchanged.
    /// @complexity O(backend servers)
    void share_with(const placement& before);

  private:
    struct rule_targets
    {
        placement_rule rule;
        std::vector<service_name> services;
    };

    /// A shard that a backend server holds.
    struct held_shard
    {
        service_name service;
        std::size_t shard = 0;

        bool operator==(const held_shard&) const = default;
    };

    using rules_by_value = std::unordered_map<std::string, std::vector<std::size_t>>;

    void add_rule(const placement_rule& rule, std::vector<service_name> targets);
    std::vector<held_shard> shards_of(const backend_server& server) const;
    void add_shards_by(const std::vector<std::size_t>& rules, const backend_server& server,
                       std::vector<held_shard>& into) const;
    std::vector<backend_server>& replicas_to_change(const held_shard& held);
    const std::vector<backend_server>& replicas_of(const held_shard& held) const;
    void put_at(const held_shard& held, const backend_server& server);
    void remove_at(const held_shard& held, const backend_server_name& server);

    placement m_placed;
    /// Backend servers in these count as leaving.
    std::set<std::string> m_evacuated_zones;
    std::vector<rule_targets> m_rules;
    /// Rules by the first label for which they ask a single value.
    std::map<std::string, rules_by_value> m_rules_by_label;
    /// Rules that ask for no single value.
    std::vector<std::size_t> m_other_rules;
    std::unordered_map<backend_server_name, std::vector<held_shard>> m_held;
    /// Services that were changed since @ref current.
    std::map<service_name, placed_service> m_changed;
};

} // namespace flaxtiller
