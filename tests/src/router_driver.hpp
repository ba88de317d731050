#pragma once

#include <flaxtiller/routing/delegated_request.hpp>
#include <flaxtiller/routing/router.hpp>
#include <flaxtiller/routing/top_records.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flaxtiller::test
{

using dispatch::attempt_result;
using dispatch::attempt_status;

inline route fan_out_over(int services, double least_share)
{
    route item;
    item.name = "all";
    item.host = "h";
    item.path_prefix = "/all/";
    item.timeout = duration::from_ms(500);
    item.objective = duration::from_ms(100);
    item.least_share = least_share;
    item.top_records = 2;
    for (int i = 0; i < services; ++i)
    {
        item.fan_out.emplace_back("s" + std::to_string(i));
    }
    return item;
}

/// Runs a router in simulated time: tests send it events, and the driver records the resulting actions.
class router_driver
{
  public:
    explicit router_driver(router_options options = {}) : m_router(options)
    {
    }

    /// Receives an outcome of @a delegation from any entry, with any number.
    void receive_outcome(const instance_name& peer, delegation_number number,
                         const delegate_shards& delegation)
    {
        delegate_shards received = delegation;
        received.peer = peer;
        received.number = number;
        receive_final_outcome(received, routed_end::merged);
    }

    void set_view(std::map<std::string, route> routes, int services, int replicas = 2)
    {
        auto placed = std::make_shared<placement>();
        placed->revision = ++m_revision;
        for (int i = 0; i < services; ++i)
        {
            placed_service item;
            item.definition.name = service_name("s" + std::to_string(i));
            item.shards.resize(1);
            for (int k = 0; k < replicas; ++k)
            {
                backend_server server;
                server.name = backend_server_name(item.definition.name.str() + "-" + std::to_string(k));
                server.slots = 2;
                server.connection_limit = 30;
                server.availability_zone = i < near_services ? "near-zone" : "far-zone";
                if (k + 1 == replicas && !last_replica_zone.empty())
                {
                    server.availability_zone = last_replica_zone;
                }
                item.shards[0].push_back(server);
            }
            placed->services.emplace(item.definition.name, item);
        }
        routing_view view;
        view.placed = placed;
        view.routes = std::make_shared<const route_table>(routes);
        view.region = region;
        view.region_of_zone = std::map<std::string, std::string>{{"near-zone", "near"}, {"far-zone", "far"}};
        view.peers = peers;
        view.teams = teams;
        m_router.configure(view, now);
        process_actions();
    }

    void set_confirmed_until(time_point until)
    {
        m_router.set_confirmed_until(until);
    }

    request_number submit(const std::string& target, double patience_ms = 1000.0)
    {
        auto request = std::make_shared<routed_request>();
        request->id = "r" + std::to_string(++m_number);
        request->host = "h";
        request->target = target;
        request->patience = duration::from_ms(patience_ms);
        request->team = team_name(team);
        m_router.arrive(m_number, request, now);
        process_actions();
        return m_number;
    }

    /// @return the end of a delegated request whose attempts get no answer
    /// @param same_shards whether the delegating entry has the same list of shards
    routed_end end_of_delegated_request(const std::string& target, bool same_shards)
    {
        const request_number number = submit_delegated(target, same_shards);
        advance(200);
        return answers.at(number).end;
    }

    request_number submit_delegated(const std::string& target, bool same_shards, bool again = false)
    {
        auto request = std::make_shared<routed_request>();
        request->host = "h";
        request->target = target;
        request->patience = duration::from_ms(100);
        request->delegated_list = list_id(fan_out_over(4, 0.0).fan_out) + (same_shards ? 0 : 2);
        request->delegated_shards = {1, 2};
        for (const std::string& name : designated)
        {
            request->designated.emplace_back(name);
        }
        request->answer_within = duration::from_ms(50);
        request->progress_within = duration::from_ms(20);
        request->is_repeated_delegation = again;
        const request_number number = ++m_number;
        m_router.arrive(number, request, now);
        process_actions();
        return number;
    }

    void advance(double ms)
    {
        const time_point stop_at = now + duration::from_ms(ms);
        while (m_router.next_time() <= stop_at)
        {
            now = std::max(now, m_router.next_time());
            m_router.on_time(now);
            process_actions();
        }
        now = stop_at;
    }

    time_point next_time() const
    {
        return m_router.next_time();
    }

    dispatch::waiting_counts waiting_work() const
    {
        return m_router.waiting_work();
    }

    void answer_all()
    {
        m_router.answer_all();
        process_actions();
    }

    void disconnect_caller(request_number number)
    {
        m_router.caller_gone(number, now);
        process_actions();
    }

    void no_longer_awaited(request_number number)
    {
        m_router.no_longer_awaited(number);
        process_actions();
    }

    void withdraw(request_number number)
    {
        m_router.withdraw(number);
        process_actions();
    }

    /// Ends the oldest running attempt on @a service.
    void end_attempt(const std::string& service, attempt_status status, int http_status = 200,
                     bool hung_up = false)
    {
        const auto found = std::find_if(started.begin(), started.end(),
                                        [&](const start_routed_attempt& item)
                                        {
                                            return item.service.str() == service;
                                        });
        REQUIRE(found != started.end());
        const start_routed_attempt ended = *found;
        started.erase(found);
        std::shared_ptr<backend_answer> answer;
        const bool has_answer = status == attempt_status::answered || http_status >= 500;
        if (has_answer)
        {
            answer = std::make_shared<backend_answer>();
            answer->status = http_status;
            answer->signature = "by-" + ended.server.str();
            answer->body = records_of(service);
        }
        attempt_result result;
        result.status = status;
        result.hung_up = hung_up;
        m_router.attempt_ended(ended.attempt, result, answer, now);
        process_actions();
    }

    /// @return the body of an answer of the service: its records in rising order
    std::string records_of(const std::string& service) const
    {
        std::string body;
        for (int i = 0; i < records_per_answer; ++i)
        {
            std::string record(record_bytes, service.back());
            record.back() = i == 0 ? record.back() : static_cast<char>('a' + i);
            body += record;
        }
        return body;
    }

    /// Receives a delegation of another entry.
    request_number receive_delegation(const delegate_shards& delegation)
    {
        return receive_request(delegated_request(delegation));
    }

    request_number receive_request(const routed_request& request)
    {
        m_router.arrive(++m_number, std::make_shared<const routed_request>(request), now);
        process_actions();
        return m_number;
    }

    /// Receives what the entry that was asked answered to a delegation.
    void receive_answer(const delegate_shards& delegation, const routed_outcome& outcome)
    {
        m_router.on_delegation_outcome(delegation.peer, delegation.number, outcome, now);
        process_actions();
    }

    /// Lets the backend server of the oldest attempt on @a service crash.
    void crash_server(const std::string& service)
    {
        end_attempt(service, attempt_status::cut, 0, true);
    }

    void receive_crash_records(const std::vector<crash_record>& records)
    {
        m_router.on_crash_records(records, now);
        process_actions();
    }

    int running(const std::string& service) const
    {
        return static_cast<int>(std::count_if(started.begin(), started.end(),
                                              [&](const start_routed_attempt& item)
                                              {
                                                  return item.service.str() == service;
                                              }));
    }

    /// Delivers the final outcome of a delegation.
    /// @param missing the number of missing parts, from the first one on
    /// @param reported the number of parts, from the last one on, that an earlier partial outcome held
    void receive_final_outcome(const delegate_shards& delegation, routed_end end, std::size_t missing = 0,
                               std::size_t reported = 0)
    {
        routed_outcome outcome;
        outcome.end = end;
        outcome.missing_shards.assign(delegation.shards.begin(),
                                      delegation.shards.begin() + static_cast<std::ptrdiff_t>(missing));
        for (std::size_t i = missing; i < delegation.shards.size() - reported; ++i)
        {
            outcome.signatures.push_back("by-s" + std::to_string(delegation.shards[i]));
            outcome.merged += std::string(record_bytes, static_cast<char>('z' - i));
        }
        m_router.on_delegation_outcome(delegation.peer, delegation.number, outcome, now);
        process_actions();
    }

    void receive_failure_with_crash(const delegate_shards& delegation, const crash_record& record)
    {
        routed_outcome outcome;
        outcome.end = routed_end::failed;
        outcome.crashes = {record};
        m_router.on_delegation_outcome(delegation.peer, delegation.number, outcome, now);
        process_actions();
    }

    void receive_partial_outcome(const delegate_shards& delegation, std::size_t missing)
    {
        routed_outcome outcome;
        outcome.end = routed_end::merged;
        outcome.is_progress = true;
        outcome.missing_shards.assign(delegation.shards.begin(),
                                      delegation.shards.begin() + static_cast<std::ptrdiff_t>(missing));
        for (std::size_t i = missing; i < delegation.shards.size(); ++i)
        {
            outcome.signatures.push_back("by-s" + std::to_string(delegation.shards[i]));
        }
        m_router.on_delegation_outcome(delegation.peer, delegation.number, outcome, now);
        process_actions();
    }

    void disconnect_entry(const instance_name& peer)
    {
        m_router.on_entry_disconnected(peer, now);
        process_actions();
    }

    std::string region = "near";
    int near_services = 0;
    /// The number of records in each answer of a backend server.
    int records_per_answer = 1;
    /// The backend servers that a delegating entry designates.
    std::vector<std::string> designated;
    /// The availability zone of each service's last replica, if different from the other replicas.
    std::string last_replica_zone;
    std::vector<entry_peer> peers;
    /// The teams of the next view, and the team of the requests that are submitted; empty for none.
    std::shared_ptr<const team_table> teams = std::make_shared<const team_table>();
    std::string team;
    time_point now{duration::from_ms(1000)};
    std::vector<start_routed_attempt> started;
    std::vector<routed_attempt_number> cancelled;
    std::vector<delegate_shards> delegations;
    std::vector<abandon_delegation> abandoned;
    std::map<request_number, routed_outcome> progress;
    std::map<request_number, routed_outcome> answers;
    /// The crash records that were sent to the control replicas.
    std::vector<crash_record> crashes;

  private:
    void process_actions()
    {
        for (const router_action& action : m_router.take_actions())
        {
            if (const auto* start = std::get_if<start_routed_attempt>(&action))
            {
                started.push_back(*start);
            }
            else if (const auto* cancel = std::get_if<cancel_routed_attempt>(&action))
            {
                cancelled.push_back(cancel->attempt);
            }
            else if (const auto* delegated = std::get_if<delegate_shards>(&action))
            {
                delegations.push_back(*delegated);
            }
            else if (const auto* abandon = std::get_if<abandon_delegation>(&action))
            {
                abandoned.push_back(*abandon);
            }
            else if (const auto* partial = std::get_if<send_partial_outcome>(&action))
            {
                progress[partial->request] = partial->outcome;
            }
            else if (const auto* crashed = std::get_if<publish_crash_records>(&action))
            {
                crashes.insert(crashes.end(), crashed->records.begin(), crashed->records.end());
            }
            else if (const auto* final_answer = std::get_if<answer_request>(&action))
            {
                // Each request gets exactly one final answer.
                REQUIRE(answers.emplace(final_answer->request, final_answer->outcome).second);
            }
        }
    }

    router m_router;
    request_number m_number = 0;
    std::int64_t m_revision = 0;
};

inline route single(bool repeatable)
{
    route item;
    item.name = "one";
    item.host = "h";
    item.path_prefix = "/one/";
    item.timeout = duration::from_ms(500);
    item.repeatable = repeatable;
    item.targets = {{service_name("s0"), 1}};
    return item;
}

} // namespace flaxtiller::test
