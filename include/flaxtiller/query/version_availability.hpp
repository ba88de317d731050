#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <map>
#include <set>
#include <vector>

namespace flaxtiller
{

/// @brief Orders index versions: a longer number is newer, else by text; `9` before `10`, `v1` before `v2`.
bool is_newer(const index_version& a, const index_version& b);

/// @brief Which index versions each shard of a service can answer from, as last heard.
class version_availability
{
  public:
    /// @brief Takes in what a shard's owner says that its backend servers hold; an empty list says nothing.
    void set_versions(int shard, const std::vector<index_version>& held);

    /// @brief Forgets everything, as after a change of the number of shards.
    void clear();

    /// @brief Chooses the version to pin a query to: held by most of @a shards, then the newest.
    /// @param excluded versions that already failed
    /// @return the version, or an empty one where nothing is known
    index_version choose(const std::vector<int>& shards, const std::set<index_version>& excluded) const;

    /// @return shard to versions
    const std::map<int, std::set<index_version>>& shards() const noexcept;

  private:
    std::map<int, std::set<index_version>> m_versions_by_shard;
};

} // namespace flaxtiller
