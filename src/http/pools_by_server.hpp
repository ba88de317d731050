#pragma once

#include "address.hpp"
#include "process/metrics.hpp"

#include <flaxtiller/core/identifier.hpp>

#include <tbb/concurrent_hash_map.h>

#include <memory>
#include <string>

namespace flaxtiller::shell
{

/// @brief The connection pools of this instance, by the name of the backend server. Thread-safe; lookups
/// don't block each other.
/// @tparam Pool @ref backend_pool or @ref connection_pool
template <typename Pool>
class pools_by_server
{
  public:
    /// @param execution_context runs the work of the pools
    pools_by_server(typename Pool::execution_context execution_context, metrics& pool_metrics)
        : m_execution_context(execution_context), m_metrics(pool_metrics)
    {
    }

    /// @brief Creates the pool of a backend server or changes its limits. If the address differs from that of
    /// the present pool, a new pool replaces the present one.
    void configure(const backend_server_name& server, const address& at, int most_connections, int warm)
    {
        typename map::accessor found;
        m_pools.insert(found, server.str());
        if (!found->second.pool || !(found->second.at == at))
        {
            found->second = {at, std::make_shared<Pool>(m_execution_context, at, m_metrics)};
        }
        found->second.pool->configure(most_connections, warm);
    }

    /// @return the pool of a backend server, or null if there is none
    std::shared_ptr<Pool> find(const backend_server_name& server) const
    {
        typename map::const_accessor found;
        return m_pools.find(found, server.str()) ? found->second.pool : nullptr;
    }

    /// @brief Removes the pool of a backend server; attempts in progress continue to their end.
    void remove(const backend_server_name& server)
    {
        m_pools.erase(server.str());
    }

  private:
    struct entry
    {
        address at;
        std::shared_ptr<Pool> pool;
    };
    using map = tbb::concurrent_hash_map<std::string, entry>;

    typename Pool::execution_context m_execution_context;
    metrics& m_metrics;
    map m_pools;
};

} // namespace flaxtiller::shell
