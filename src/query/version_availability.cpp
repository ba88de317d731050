#include <flaxtiller/query/version_availability.hpp>

namespace flaxtiller
{

bool is_newer(const index_version& a, const index_version& b)
{
    if (a.str().size() != b.str().size())
    {
        return a.str().size() > b.str().size();
    }
    return a.str() > b.str();
}

void version_availability::set_versions(int shard, const std::vector<index_version>& held)
{
    if (!held.empty())
    {
        m_versions_by_shard[shard] = {held.begin(), held.end()};
    }
}

void version_availability::clear()
{
    m_versions_by_shard.clear();
}

index_version version_availability::choose(const std::vector<int>& shards,
                                           const std::set<index_version>& excluded) const
{
    std::map<index_version, std::size_t> holders;
    for (const int shard : shards)
    {
        const auto found = m_versions_by_shard.find(shard);
        if (found == m_versions_by_shard.end())
        {
            continue;
        }
        for (const index_version& version : found->second)
        {
            ++holders[version];
        }
    }
    index_version best;
    std::size_t most = 0;
    for (const auto& [version, count] : holders)
    {
        const bool better = count > most || (count == most && is_newer(version, best));
        if (excluded.count(version) == 0 && better)
        {
            best = version;
            most = count;
        }
    }
    return best;
}

const std::map<int, std::set<index_version>>& version_availability::shards() const noexcept
{
    return m_versions_by_shard;
}

} // namespace flaxtiller
