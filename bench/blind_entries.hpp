#pragma once

#include "model_server.hpp"
#include "query_ledger.hpp"

#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace flaxtiller::bench
{

/// @brief The baselines: ten entries that know nothing of one another send straight to the backend servers.
///
/// `single_try` sends once, to the replica on which the entry itself has the least under way; work that was
/// shed is sent again after a pause, since it wasn't run. `fixed_hedge` also sends to the other replica after
/// 20 ms. `all_replicas` sends to both at once and cancels the loser.
class blind_entries
{
  public:
    blind_entries(event_queue& events, std::mt19937_64& random, const situation& wanted,
                  std::vector<std::unique_ptr<model_server>>& servers, query_ledger& ledger)
        : m_events(events), m_random(random), m_situation(wanted), m_servers(servers), m_ledger(ledger),
          m_outstanding(entries * servers.size())
    {
    }

    void on_query(std::size_t query)
    {
        const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, entries - 1)(m_random);
        m_events.after(m_situation.deadline,
                       [this, query]
                       {
                           m_ledger.deadline(query);
                       });
        for (int shard = 0; shard < m_situation.fan_out; ++shard)
        {
            start_shard(query, entry, static_cast<std::size_t>(shard));
        }
    }

  private:
    static constexpr std::size_t entries = 10;
    static constexpr std::size_t replicas = 2;
    static constexpr duration hop = duration::from_ms(0.5);
    static constexpr duration hedge_after = duration::from_ms(20);
    static constexpr double shed_pause_ms = 5.0;

    struct subquery
    {
        std::size_t query;
        std::size_t entry;
        std::size_t shard;
        bool done = false;
        std::array<std::uint64_t, replicas> attempts{};
    };

    void start_shard(std::size_t query, std::size_t entry, std::size_t shard)
    {
        auto item = std::make_shared<subquery>(subquery{query, entry, shard, false, {}});
        const std::size_t first = less_loaded(entry, shard);
        send(item, first);
        if (m_situation.policy == policy::all_replicas)
        {
            send(item, 1 - first);
        }
        else if (m_situation.policy == policy::fixed_hedge)
        {
            m_events.after(hedge_after,
                           [this, item, first]
                           {
                               if (!item->done)
                               {
                                   send(item, 1 - first);
                               }
                           });
        }
    }

    std::size_t less_loaded(std::size_t entry, std::size_t shard)
    {
        const int first = m_outstanding[slot(entry, shard, 0)];
        const int second = m_outstanding[slot(entry, shard, 1)];
        if (first != second)
        {
            return first < second ? 0 : 1;
        }
        return m_random() & 1U;
    }

    std::size_t slot(std::size_t entry, std::size_t shard, std::size_t replica) const
    {
        return entry * m_servers.size() + shard * replicas + replica;
    }

    void send(const std::shared_ptr<subquery>& item, std::size_t replica)
    {
        const std::uint64_t attempt = ++m_next;
        item->attempts[replica] = attempt;
        ++m_outstanding[slot(item->entry, item->shard, replica)];
        m_events.after(hop,
                       [this, item, replica, attempt]
                       {
                           m_servers[item->shard * replicas + replica]->run(
                               attempt,
                               [this, item, replica](model_end how)
                               {
                                   m_events.after(hop,
                                                  [this, item, replica, how]
                                                  {
                                                      ended(item, replica, how);
                                                  });
                               });
                       });
    }

    void ended(const std::shared_ptr<subquery>& item, std::size_t replica, model_end how)
    {
        --m_outstanding[slot(item->entry, item->shard, replica)];
        if (item->done || m_ledger.is_done(item->query))
        {
            return;
        }
        if (how == model_end::answered)
        {
            item->done = true;
            m_ledger.shard_done(item->query, true);
            cancel_loser(item, replica);
        }
        else if (how == model_end::shed)
        {
            const double pause = shed_pause_ms * std::uniform_real_distribution<double>(0.5, 1.5)(m_random);
            m_events.after(duration::from_ms(pause),
                           [this, item, replica]
                           {
                               send_again(item, replica);
                           });
        }
        else if (how == model_end::unreachable && m_situation.policy != policy::all_replicas)
        {
            // Nothing was run, so that the other replica may be tried.
            m_events.after(hop,
                           [this, item, replica]
                           {
                               send_again(item, 1 - replica);
                           });
        }
    }

    void send_again(const std::shared_ptr<subquery>& item, std::size_t replica)
    {
        if (!item->done && !m_ledger.is_done(item->query))
        {
            send(item, replica);
        }
    }

    void cancel_loser(const std::shared_ptr<subquery>& item, std::size_t winner)
    {
        const std::size_t loser = 1 - winner;
        const std::uint64_t attempt = item->attempts[loser];
        if (m_situation.policy != policy::all_replicas || attempt == 0)
        {
            return;
        }
        m_events.after(hop,
                       [this, item, loser, attempt]
                       {
                           m_servers[item->shard * replicas + loser]->cancel(attempt);
                       });
    }

    event_queue& m_events;
    std::mt19937_64& m_random;
    const situation& m_situation;
    std::vector<std::unique_ptr<model_server>>& m_servers;
    query_ledger& m_ledger;
    std::vector<int> m_outstanding;
    std::uint64_t m_next = 0;
};

} // namespace flaxtiller::bench
