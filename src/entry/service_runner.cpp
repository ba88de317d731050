#include "service_runner.hpp"

#include "http/json_reply.hpp"
#include "process/log.hpp"
#include "process/system.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include <chrono>

namespace flaxtiller::shell
{

namespace
{

/// How long the register client tries to record the outcome of a query. The caller may be answered before.
constexpr duration finish_timeout = duration::from_ms(10000);

std::uint64_t first_serial_of(const service_runner_context& context)
{
    // Serial numbers of a previous run of this instance must not be used again, so they start at a random
    // number. Its 40 bits leave room for the part number that is appended to each serial number.
    constexpr std::uint64_t low_40_bits = (std::uint64_t{1} << 40U) - 1;
    return context.run & low_40_bits;
}

} // namespace

service_runner::service_runner(service_runner_context& context, service_name service)
    : m_context(context), m_service(std::move(service)), m_strand(boost::asio::make_strand(context.io)),
      m_timer(m_strand), m_coordinator(context.self, m_service, context.options, first_serial_of(context))
{
    m_context.trace.begin(m_service, m_context.self, first_serial_of(context));
}

void service_runner::submit(query_request request, completion done)
{
    boost::asio::post(
        m_strand,
        [self = shared_from_this(), request = std::move(request), done = std::move(done)]() mutable
        {
            const query_id id = self->m_next_query++;
            self->m_callers.emplace(id, caller{std::move(done), self->m_clock.now()});
            self->handle(query_arrived{id, std::move(request)});
        });
}

void service_runner::post(coordinator_event incoming_event)
{
    boost::asio::post(m_strand,
                      [self = shared_from_this(), incoming_event = std::move(incoming_event)]
                      {
                          self->handle(incoming_event);
                      });
}

void service_runner::handle(const coordinator_event& incoming_event)
{
    const time_point now = m_clock.now();
    if (const auto* changed = std::get_if<placement_changed>(&incoming_event))
    {
        m_placed = changed->placed;
    }
    m_context.trace.event(m_service, incoming_event, now);
    m_coordinator.handle(incoming_event, now);
    execute_actions();
    schedule_timer();
    m_open.store(m_coordinator.open_queries(), std::memory_order_relaxed);
}

void service_runner::execute_actions()
{
    for (auto pending = m_coordinator.take_actions(); !pending.empty();
         pending = m_coordinator.take_actions())
    {
        for (const coordinator_action& action : pending)
        {
            std::visit(
                [this](const auto& item)
                {
                    execute(item);
                },
                action);
        }
    }
}

void service_runner::schedule_timer()
{
    const time_point next = m_coordinator.next_time();
    if (next == m_timer_at)
    {
        return;
    }
    m_timer_at = next;
    if (next == time_point::never())
    {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::chrono::microseconds((next - m_clock.now()).us()));
    m_timer.async_wait(
        [self = shared_from_this(), next](const boost::system::error_code& error)
        {
            if (!error && self->m_timer_at == next)
            {
                self->m_timer_at = time_point::never();
                self->handle(time_passed{});
            }
        });
}

// ---------------------------------------------------------------------------------------------------------
// actions
// ---------------------------------------------------------------------------------------------------------

void service_runner::execute(const dispatch::start_attempt& action)
{
    m_context.counted.add(metrics::counter::attempts);
    const auto pool = m_context.pools.find(action.server);
    if (!pool)
    {
        post(attempt_ended{action.attempt, {dispatch::attempt_status::unreachable, {}, {}, {}, {}, false}});
        return;
    }
    const time_point now = m_clock.now();
    backend_request request;
    request.id =
        fmt::format("{}-{:x}-{}-{}", m_context.self.str(), m_context.run, m_service.str(), action.attempt);
    request.service = m_service.str();
    request.shard = action.shard;
    request.shards = static_cast<int>(m_placed->services.at(m_service)->shards.size());
    request.version = action.version;
    request.left = action.deadline - now;
    request.body = action.body ? *action.body : std::string();
    m_attempts.emplace(action.attempt, running_attempt{pool, request.id});
    pool->send(std::move(request),
               [self = shared_from_this(), id = action.attempt, now](const dispatch::attempt_result& result)
               {
                   self->m_context.counted.observe(metrics::timer::attempt, self->m_clock.now() - now);
                   boost::asio::post(self->m_strand,
                                     [self, id, result]
                                     {
                                         self->m_attempts.erase(id);
                                         self->handle(attempt_ended{id, result});
                                     });
               });
}

void service_runner::execute(const dispatch::cancel_attempt& action)
{
    m_context.counted.add(metrics::counter::cancels);
    const auto found = m_attempts.find(action.attempt);
    if (found != m_attempts.end())
    {
        found->second.pool->cancel(found->second.id);
    }
}

void service_runner::execute(const delegate_to_peer& action)
{
    m_context.counted.add(metrics::counter::subqueries_to_peers, action.subqueries.size());
    m_context.links.send(action.peer.str(), ask_message{m_service, action.subqueries});
}

void service_runner::execute(const send_results_to_peer& action)
{
    m_context.counted.add(metrics::counter::subqueries_for_peers, action.results.size());
    m_context.links.send(action.peer.str(), answer_message{m_service, action.results});
}

void service_runner::execute(const abandon_delegated& action)
{
    m_context.links.send(action.peer.str(), abandon_message{m_service, action.numbers});
}

register_command service_runner::make_register_command(query_id query, const query_request& request) const
{
    register_command command;
    command.key = request.key;
    command.digest = request.digest();
    command.key_time_ms = request.key_time_ms;
    command.asker = fmt::format("{}-{:x}-{}-{}", m_context.self.str(), m_context.run, m_service.str(), query);
    command.now_ms = unix_ms();
    return command;
}

void service_runner::execute(const register_begin& action)
{
    register_command command = make_register_command(action.query, action.request);
    command.action = register_action::begin;
    m_context.registers.call(command, action.request.deadline,
                             [self = shared_from_this(), id = action.query](const register_reply& reply)
                             {
                                 self->post(register_began{id, reply});
                             });
}

void service_runner::execute(const register_finish& action)
{
    register_command command = make_register_command(action.query, action.request);
    command.action = register_action::finish;
    command.outcome = action.answer.outcome;
    command.answer = to_text(action.answer);
    m_context.registers.call(command, finish_timeout,
                             [self = shared_from_this(), id = action.query](const register_reply& reply)
                             {
                                 if (reply.status != register_status::unreachable)
                                 {
                                     self->post(register_finished{id});
                                 }
                             });
}

void service_runner::execute(const answer_caller& action)
{
    const auto found = m_callers.find(action.query);
    if (found == m_callers.end())
    {
        return;
    }
    const time_point now = m_clock.now();
    m_context.trace.answer(m_service, action, now);
    m_context.counted.observe(metrics::timer::query, now - found->second.arrived);
    const completion done = std::move(found->second.done);
    m_callers.erase(found);
    done(action.answer);
}

// ---------------------------------------------------------------------------------------------------------
// inspection
// ---------------------------------------------------------------------------------------------------------

std::size_t service_runner::open_queries() const noexcept
{
    return m_open.load(std::memory_order_relaxed);
}

void service_runner::dump(std::function<void(nlohmann::json)> done)
{
    boost::asio::post(m_strand,
                      [self = shared_from_this(), done = std::move(done)]
                      {
                          done(self->dump_state());
                      });
}

nlohmann::json service_runner::dump_state() const
{
    const auto& scheduler = m_coordinator.scheduler();
    const time_point now = m_clock.now();
    nlohmann::json j = {{"open_queries", m_coordinator.open_queries()},
                        {"queued_subqueries", scheduler.queued()},
                        {"running_attempts", scheduler.running()},
                        {"attempts_started", scheduler.attempts_started()},
                        {"subqueries_finished", scheduler.finished()},
                        {"extra_load_budget", scheduler.budget()},
                        {"late_after_ms", scheduler.service_overdue_after().ms()}};
    for (const dispatch::server_state* server : scheduler.servers())
    {
        nlohmann::json item = {{"name", server->definition.name},
                               {"address", server->definition.address},
                               {"in_use", server->in_use},
                               {"recent_ms", server->recent_latency.ms()},
                               {"leaving", server->is_leaving()},
                               {"ejected_for_ms", std::max(0.0, (server->ejected_until - now).ms())},
                               {"replace_paused", server->replace_paused_until > now}};
        if (server->versions)
        {
            item["versions"] = *server->versions;
        }
        j["backend_servers"].push_back(std::move(item));
    }
    for (const auto& [shard, versions] : m_coordinator.versions().shards())
    {
        j["versions"].push_back(
            {{"shard", shard}, {"held", versions}, {"owner", m_coordinator.owner_of(shard)}});
    }
    return j;
}

} // namespace flaxtiller::shell
