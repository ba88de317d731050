#pragma once

#include <flaxtiller/catalog/change.hpp>
#include <flaxtiller/catalog/configuration.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace flaxtiller
{

/// @brief The replicated state of the catalog: the current configuration, its revision, earlier revisions,
/// and the results of recent changes. Deterministic.
class catalog_state
{
  public:
    /// The number of changes whose results are kept, so that a repeated change receives its first result.
    static constexpr std::size_t max_results = 20000;
    /// The maximum number of revisions that are kept for a roll-back.
    static constexpr std::size_t max_history_revisions = 64;
    /// The maximum number of items (services, backend servers, placement rules, routes and their services,
    /// teams and their keys) in all kept revisions together, about 10 MB. Large configurations are kept for
    /// fewer revisions, but always for the newest @ref min_history_revisions.
    static constexpr std::size_t max_history_items = 50000;
    static constexpr std::size_t min_history_revisions = 2;

    /// @return whether the change has no effect, because its version isn't higher than the current one
    bool is_superseded(const change& requested) const;

    /// @brief Checks a change that isn't in the log yet, so that one that would be refused doesn't get there.
    /// @return the findings of @ref apply and of @ref check_new; nothing if the change would have no effect
    /// whatever it contains
    findings check(const change& requested) const;

    /// @brief Applies a committed change. A repeated change has no effect and receives its first result.
    change_result apply(const change& requested);

    /// @brief Applies a committed change that is encoded as CBOR. A malformed change has no effect.
    /// @return the @ref change_result, encoded as CBOR
    std::string apply_bytes(const std::string& command);

    /// @return the current configuration
    const configuration& current() const noexcept;

    /// @return the current revision; 0 before the first change
    std::int64_t revision() const noexcept;

    /// @return the kept revisions, oldest first, each with the id of the change that created it
    std::map<std::int64_t, change_id> history() const;

    /// @return the complete state, encoded as CBOR
    std::string serialize() const;

    /// @brief Restores a state from the result of @ref serialize.
    /// @throw nlohmann::json::exception if @a bytes are malformed
    static catalog_state deserialize(const std::string& bytes);

    bool operator==(const catalog_state&) const = default;

  private:
    struct revision_record
    {
        std::int64_t revision = 0;
        change_id made_by;
        configuration value;

        bool operator==(const revision_record&) const = default;
    };

    change_result evaluate(const change& requested, configuration& next) const;
    configuration next_configuration(const change& requested, findings& found) const;
    configuration configuration_at_revision(const nlohmann::json& body, findings& found) const;
    configuration apply_evacuation_order(const nlohmann::json& order, findings& found) const;
    void preserve_evacuated_zones(configuration& next, findings& found) const;
    void drop_old_revisions();
    void store_result(const change_id& id, const change_result& result);

    configuration m_current;
    std::int64_t m_revision = 0;
    change_id m_made_by;
    std::deque<revision_record> m_history;
    std::map<change_id, change_result> m_results;
    std::deque<change_id> m_result_order;
};

} // namespace flaxtiller
