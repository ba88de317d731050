#pragma once

#include <flaxtiller/dispatch/scheduler.hpp>

#include <map>
#include <string>
#include <vector>

namespace flaxtiller::test
{

/// @return a service in which each shard has the backend servers `<shard>a`, `<shard>b` and so on
inline placed_service make_service(int shards, int replicas, int slots = 2)
{
    placed_service placed;
    placed.definition.name = service_name("dispatch");
    placed.definition.shards = shards;
    for (int shard = 0; shard < shards; ++shard)
    {
        std::vector<backend_server> holders;
        for (int replica = 0; replica < replicas; ++replica)
        {
            backend_server server;
            server.name = backend_server_name(std::to_string(shard) + static_cast<char>('a' + replica));
            server.address = "127.0.0.1:1";
            server.slots = slots;
            holders.push_back(std::move(server));
        }
        placed.shards.push_back(std::move(holders));
    }
    return placed;
}

/// @brief Passes events to a scheduler under a manual clock and records the actions that it returns.
class scheduler_driver
{
  public:
    explicit scheduler_driver(const placed_service& placed, dispatch::scheduler_options options = {})
        : scheduler(options)
    {
        scheduler.configure(placed, 1, now);
    }

    dispatch::subquery_id submit(int shard = 0, double deadline_ms = 1000, bool repeatable = true,
                                 const std::string& version = {})
    {
        dispatch::subquery request;
        request.id = next++;
        request.shard = shard;
        request.deadline = now + duration::from_ms(deadline_ms);
        request.repeatable = repeatable;
        request.version = index_version(version);
        return submit(request);
    }

    dispatch::subquery_id submit(const dispatch::subquery& request)
    {
        scheduler.submit(request, now);
        collect();
        return request.id;
    }

    void finish_attempt(dispatch::attempt_id attempt, dispatch::attempt_result result)
    {
        scheduler.on_result(attempt, result, now);
        running.erase(attempt);
        collect();
    }

    void answer(dispatch::attempt_id attempt, std::vector<std::string> held = {"1"})
    {
        dispatch::attempt_result result;
        result.status = dispatch::attempt_status::answered;
        result.version = index_version(held.back());
        for (const std::string& version : held)
        {
            result.held_versions.emplace_back(version);
        }
        finish_attempt(attempt, result);
    }

    void fail(dispatch::attempt_id attempt, dispatch::attempt_status status)
    {
        dispatch::attempt_result result;
        result.status = status;
        finish_attempt(attempt, result);
    }

    void advance_by(double ms)
    {
        const time_point until = now + duration::from_ms(ms);
        while (scheduler.next_time() <= until)
        {
            now = std::max(now, scheduler.next_time());
            scheduler.on_time(now);
            collect();
        }
        now = until;
    }

    /// @brief Advances the clock until @a done returns true, by at most @a most_ms.
    template <typename Condition>
    void advance_until(Condition done, int most_ms)
    {
        for (int i = 0; i < most_ms && !done(); ++i)
        {
            advance_by(1);
        }
    }

    /// @brief Runs @a count subqueries of shard 0, each with a latency of @a ms, as samples.
    void record_latencies(int count, double ms = 5)
    {
        for (int i = 0; i < count; ++i)
        {
            submit();
            advance_by(ms);
            while (!running.empty())
            {
                answer(running.begin()->first);
            }
        }
        finished.clear();
        cancelled.clear();
        started = 0;
    }

    const dispatch::start_attempt& attempt_of(dispatch::subquery_id id) const
    {
        for (const auto& [number, begun] : running)
        {
            if (begun.subquery == id)
            {
                return begun;
            }
        }
        throw std::logic_error("no attempt of subquery " + std::to_string(id));
    }

    std::size_t running_on(const std::string& server) const
    {
        std::size_t count = 0;
        for (const auto& [number, begun] : running)
        {
            count += begun.server.str() == server ? 1 : 0;
        }
        return count;
    }

    time_point now{duration::from_ms(10000)};
    dispatch::scheduler scheduler;
    dispatch::subquery_id next = 1;
    std::map<dispatch::attempt_id, dispatch::start_attempt> running;
    std::map<dispatch::subquery_id, subquery_result> finished;
    std::vector<dispatch::attempt_id> cancelled;
    int started = 0;

  private:
    void collect()
    {
        for (const dispatch::action& item : scheduler.take_actions())
        {
            if (const auto* begun = std::get_if<dispatch::start_attempt>(&item))
            {
                running.emplace(begun->attempt, *begun);
                ++started;
            }
            else if (const auto* stop = std::get_if<dispatch::cancel_attempt>(&item))
            {
                cancelled.push_back(stop->attempt);
            }
            else if (const auto* end = std::get_if<dispatch::finish_subquery>(&item))
            {
                finished.emplace(end->subquery, end->result);
            }
        }
    }
};

} // namespace flaxtiller::test
