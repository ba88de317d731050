#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <map>
#include <set>
#include <vector>

namespace flaxtiller
{

/// @return whether the index version @a a is newer than @a b
///
/// The longer text is newer, and of two texts of the same length the lexicographically greater one, so that
/// `10` is newer than `9`, and `v2` newer than `v1`.
bool is_newer(const index_version& a, const index_version& b);

/// @brief The index versions that the backend servers of each shard of a service hold, as last reported.
class version_availability
{
  public:
    /// @brief Sets the versions that the owner of a shard reported. An empty list carries no information and
    /// is ignored.
    void set_versions(int shard, const std::vector<index_version>& held);

    /// @brief Removes all versions. Needed when the number of shards changes.
    void clear();

    /// @brief Chooses the index version for a query.
    /// @param shards the shards of the query
    /// @param excluded the versions that the query has already found to be unavailable
    /// @return the version held by most of the shards, and the newest of several such versions; an empty
    /// version if none is known
    index_version choose(const std::vector<int>& shards, const std::set<index_version>& excluded) const;

    /// @return the versions, by shard
    const std::map<int, std::set<index_version>>& shards() const noexcept;

  private:
    std::map<int, std::set<index_version>> m_versions_by_shard;
};

} // namespace flaxtiller
