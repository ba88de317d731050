#pragma once

#include <flaxtiller/catalog/change.hpp>
#include <flaxtiller/catalog/configuration.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace flaxtiller
{

/// @brief The replicated state of the configuration: what committed changes made of it. Deterministic.
class catalog_state
{
  public:
    /// Results of this many changes are remembered, so that a change sent again gets its first result.
    static constexpr std::size_t results_kept = 20000;
    /// Configurations of this many revisions are kept for roll-back.
    static constexpr std::size_t revisions_kept = 64;
    /// Fewer are kept where they are large: no more than this many items (services, servers, rules, services
    /// named by routes) in all, about 10 MB, but always the newest two.
    static constexpr std::size_t most_items_kept = 50000;
    static constexpr std::size_t least_revisions_kept = 2;

    /// @brief Applies a committed change, or finds the result it had the first time.
    change_result apply(const change& requested);

    /// @brief @ref apply for a change and a result in CBOR; a malformed change has no effect.
    std::string apply_bytes(const std::string& command);

    /// @return the present configuration
    const configuration& current() const noexcept;

    /// @return the present revision; 0 before the first change
    std::int64_t revision() const noexcept;

    /// @return the kept revisions, oldest first, with the id of the change that made each
    std::map<std::int64_t, change_id> history() const;

    /// @return the whole state as bytes, for a snapshot
    std::string serialize() const;

    /// @brief Makes the state from @ref serialize's bytes.
    /// @throw nlohmann::json::exception if the bytes are malformed
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

    change_result decide(const change& requested, configuration& next) const;
    configuration next_configuration(const change& requested, findings& found) const;
    configuration kept_configuration(const nlohmann::json& body, findings& found) const;
    configuration evacuated(const nlohmann::json& order, findings& found) const;
    void keep_evacuated(configuration& next, findings& found) const;
    void drop_old_revisions();
    void remember(const change_id& id, const change_result& result);

    configuration m_current;
    std::int64_t m_revision = 0;
    change_id m_made_by;
    std::deque<revision_record> m_history;
    std::map<change_id, change_result> m_results;
    std::deque<change_id> m_result_order;
};

} // namespace flaxtiller
