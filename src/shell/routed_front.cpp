#include "routed_front.hpp"

#include "http_status.hpp"
#include "json_reply.hpp"
#include "log.hpp"

#include <flaxtiller/dispatch/owner_choice.hpp>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;

namespace
{

const char* name_of(routed_end end)
{
    switch (end)
    {
    case routed_end::passed_on:
        return "passed_on";
    case routed_end::merged:
        return "merged";
    case routed_end::no_route:
        return "no_route";
    case routed_end::refused:
        return "refused";
    case routed_end::failed:
        return "failed";
    case routed_end::late:
        break;
    }
    return "late";
}

const char* name_of(exchange_end end)
{
    switch (end)
    {
    case exchange_end::replied:
        return "replied";
    case exchange_end::unreachable:
        return "unreachable";
    case exchange_end::cut:
        return "cut";
    case exchange_end::closed:
        return "closed";
    case exchange_end::foreign:
        break;
    }
    return "foreign";
}

metrics::counter counter_of(const routed_outcome& outcome)
{
    switch (outcome.end)
    {
    case routed_end::passed_on:
        return metrics::counter::answers_whole;
    case routed_end::merged:
        return outcome.missing == 0 ? metrics::counter::answers_whole : metrics::counter::answers_partial;
    case routed_end::no_route:
    case routed_end::refused:
        return metrics::counter::answers_refused;
    case routed_end::failed:
    case routed_end::late:
        break;
    }
    return metrics::counter::answers_unknown;
}

/// The first few of @a names, so that a line stays short.
template <typename Name>
std::string joined(const std::vector<Name>& names)
{
    constexpr std::size_t most_shown = 8;
    std::string text;
    for (std::size_t i = 0; i < names.size() && i < most_shown; ++i)
    {
        text += (text.empty() ? "" : ",") + names[i].str();
    }
    return names.size() > most_shown ? text + ",..." : text;
}

http_reply not_ready()
{
    http_reply reply = error_reply(http_unavailable, errc::not_ready);
    reply.headers.add("Retry-After", "0.200");
    return reply;
}

http_server::limits limits_of(const request_limits& declared)
{
    http_server::limits limits;
    limits.most_header_bytes = declared.header_bytes;
    limits.most_body_bytes = declared.body_bytes;
    limits.request_timeout_ms = static_cast<int>(declared.header_timeout.ms());
    limits.idle_timeout_ms = static_cast<int>(declared.idle_timeout.ms());
    return limits;
}

/// @return what placement reads of the declared configuration, with the registered backend servers of
/// declared services beside its own. Routes aren't copied: there may be hundreds, and backend servers change
/// often.
configuration with_registered(const configuration& declared, const std::vector<registration>& registered)
{
    configuration merged;
    merged.services = declared.services;
    merged.backend_servers = declared.backend_servers;
    merged.placement_rules = declared.placement_rules;
    merged.instances = declared.instances;
    for (const registration& item : registered)
    {
        const auto service = merged.services.find(item.service);
        if (service != merged.services.end())
        {
            merged.backend_servers.insert_or_assign(item.id, to_backend_server(item, service->second));
        }
    }
    return merged;
}

} // namespace

routed_front::routed_front(net::io_context& io, metrics& counted, const router_options& options,
                           routed_headers names, sender send)
    : m_metrics(counted), m_strand(net::make_strand(io)), m_timer(m_strand), m_codec(std::move(names)),
      m_send(std::move(send)), m_router(options), m_pools(io, counted),
      m_server(io, limits_of({}),
               [this](const http_request& request, http_server::respond respond)
               {
                   on_request(request, std::move(respond));
               })
{
}

std::error_code routed_front::listen(const address& at)
{
    return m_server.listen(at);
}

void routed_front::open()
{
    m_open = true;
}

void routed_front::close_after_reply()
{
    m_server.close_after_reply();
}

void routed_front::drain()
{
    m_server.drain();
}

std::size_t routed_front::in_flight() const noexcept
{
    return m_server.in_flight();
}

// ---------------------------------------------------------------------------------------------------------
// configuration
// ---------------------------------------------------------------------------------------------------------

routing_view routed_front::view_of(std::int64_t revision, const configuration& value,
                                   std::shared_ptr<const route_table> routes,
                                   const std::vector<registration>& registered, const surroundings& around)
{
    routing_view view;
    view.placed = std::make_shared<const placement>(place(revision, with_registered(value, registered)));
    view.routes = std::move(routes);
    view.entries = around.entries;
    view.self = around.self;
    view.region = around.region;
    view.zone = around.zone;
    view.region_of_zone = around.region_of_zone;
    view.peers = around.peers;
    view.unreachable = around.unreachable;
    return view;
}

void routed_front::update(const routing_view& view, const request_limits& limits)
{
    m_server.bound(limits_of(limits));
    net::dispatch(m_strand,
                  [this, view]
                  {
                      m_router.configure(view, m_clock.now());
                      configure_pools(*view.placed);
                      carry_out();
                  });
}

void routed_front::configure_pools(const placement& placed)
{
    std::map<backend_server_name, pool_bounds> kept;
    for (const auto& [name, service] : placed.services)
    {
        const int sharers = m_router.sharers_of(name);
        for (const auto& replicas : service.shards)
        {
            for (const backend_server& server : replicas)
            {
                const auto at = parse_address(server.address);
                if (!at)
                {
                    log(log_level::warning, "address_malformed",
                        {{"backend_server", server.name.str()}, {"address", server.address}});
                    continue;
                }
                const pool_bounds bounds{server.address,
                                         dispatch::direct_share_of(server, sharers).connections};
                const auto before = m_servers.find(server.name);
                if (before == m_servers.end() || !(before->second == bounds))
                {
                    m_pools.configure(server.name, *at, bounds.connections, 0);
                }
                kept.emplace(server.name, bounds);
            }
        }
    }
    for (const auto& [server, bounds] : m_servers)
    {
        if (kept.count(server) == 0)
        {
            m_pools.remove(server);
        }
    }
    m_servers = std::move(kept);
}

// ---------------------------------------------------------------------------------------------------------
// requests
// ---------------------------------------------------------------------------------------------------------

void routed_front::on_request(const http_request& request, http_server::respond respond)
{
    m_metrics.add(metrics::counter::queries);
    if (!m_open.load(std::memory_order_acquire))
    {
        m_metrics.add(metrics::counter::answers_refused);
        log(log_level::info, "request_refused",
            {{"request", m_codec.id_of(request)},
             {"target", request.target},
             {"reason", "no confirmed configuration"}});
        respond(not_ready());
        return;
    }
    auto read = m_codec.read_request(request);
    if (!read)
    {
        m_metrics.add(metrics::counter::malformed_requests);
        log(log_level::info, "request_malformed",
            {{"request", m_codec.id_of(request)}, {"target", request.target}});
        respond(
            error_reply(http_bad_request, errc::message_malformed, "needs an id and a readable deadline"));
        return;
    }
    auto shared = std::make_shared<const routed_request>(std::move(*read));
    const request_number number = m_next_request++;
    *request.on_gone = [this, number]
    {
        net::dispatch(m_strand,
                      [this, number]
                      {
                          on_gone(number);
                      });
    };
    caller from;
    from.id = shared->id;
    from.respond = [this, respond = std::move(respond)](const routed_outcome& outcome)
    {
        respond(m_codec.write_answer(outcome));
    };
    net::dispatch(m_strand,
                  [this, number, shared = std::move(shared), from = std::move(from)]
                  {
                      arrive(number, shared, from);
                  });
}

void routed_front::arrive(request_number number, std::shared_ptr<const routed_request> request, caller from)
{
    const time_point now = m_clock.now();
    from.arrived = now;
    if (!from.asked_by.empty())
    {
        m_asked[{from.asked_by, from.asked_number}] = number;
    }
    m_callers.emplace(number, std::move(from));
    m_router.arrive(number, std::move(request), now);
    carry_out();
}

void routed_front::on_gone(request_number number)
{
    const auto found = m_callers.find(number);
    if (found == m_callers.end())
    {
        return;
    }
    log(log_level::info, "caller_gone",
        {{"request", found->second.id}, {"after_ms", (m_clock.now() - found->second.arrived).ms()}});
    m_asked.erase({found->second.asked_by, found->second.asked_number});
    m_callers.erase(found);
    m_router.caller_gone(number, m_clock.now());
    carry_out();
}

// ---------------------------------------------------------------------------------------------------------
// other entries
// ---------------------------------------------------------------------------------------------------------

void routed_front::on_ask(const std::string& from, const routed_ask& asked)
{
    caller asker;
    asker.id = asked.request.id;
    asker.asked_by = from;
    asker.asked_number = asked.number;
    asker.respond = [this, from, number = asked.number](const routed_outcome& outcome)
    {
        m_send(from, routed_return{number, outcome});
    };
    if (!m_open.load(std::memory_order_acquire))
    {
        asker.respond(routed_outcome{});
        return;
    }
    net::dispatch(m_strand,
                  [this, number = m_next_request++, asker = std::move(asker),
                   request = std::make_shared<const routed_request>(asked.request)]
                  {
                      arrive(number, request, asker);
                  });
}

void routed_front::on_return(const std::string& from, const routed_return& returned)
{
    net::dispatch(m_strand,
                  [this, from, returned]
                  {
                      m_router.entry_answered(instance_name(from), returned.number, returned.outcome,
                                              m_clock.now());
                      carry_out();
                  });
}

void routed_front::on_abandon(const std::string& from, const routed_abandon& abandoned)
{
    net::dispatch(m_strand,
                  [this, from, number = abandoned.number]
                  {
                      const auto found = m_asked.find({from, number});
                      if (found != m_asked.end())
                      {
                          on_gone(found->second);
                      }
                  });
}

void routed_front::on_entry_lost(const std::string& name)
{
    net::dispatch(m_strand,
                  [this, name]
                  {
                      m_router.entry_lost(instance_name(name), m_clock.now());
                      carry_out();
                  });
}

void routed_front::carry(const ask_entry& action)
{
    if (action.again)
    {
        log(log_level::info, "group_asked_again",
            {{"request", action.sent->id},
             {"entry", action.peer.str()},
             {"shards", action.shards.size()},
             {"first", action.shards.front()}});
    }
    routed_ask asked{action.number, *action.sent};
    asked.request.patience = action.patience;
    asked.request.asked_list = action.list;
    asked.request.asked_shards = action.shards;
    asked.request.designated = action.designated;
    asked.request.answer_within = action.answer_within;
    asked.request.progress_within = action.progress_within;
    asked.request.asked_again = action.again;
    m_send(action.peer.str(), asked);
}

void routed_front::carry(const abandon_at_entry& action)
{
    m_send(action.peer.str(), routed_abandon{action.number});
}

// ---------------------------------------------------------------------------------------------------------
// actions
// ---------------------------------------------------------------------------------------------------------

void routed_front::carry_out()
{
    for (auto todo = m_router.take_actions(); !todo.empty(); todo = m_router.take_actions())
    {
        for (const router_action& action : todo)
        {
            std::visit(
                [this](const auto& item)
                {
                    carry(item);
                },
                action);
        }
    }
    schedule();
}

void routed_front::carry(const start_routed_attempt& action)
{
    m_metrics.add(metrics::counter::attempts);
    const time_point now = m_clock.now();
    if (action.ordinal > 1)
    {
        log(log_level::info, "attempt_again",
            {{"request", action.sent->id},
             {"service", action.service.str()},
             {"backend_server", action.server.str()},
             {"ordinal", action.ordinal}});
    }
    const auto pool = m_pools.find(action.server);
    if (!pool)
    {
        // Its pool went with an earlier change of the backend servers; the end comes as any other.
        net::post(m_strand,
                  [this, action, now]
                  {
                      on_reply(action, now, {});
                  });
        return;
    }
    m_attempts.emplace(action.attempt, pool);
    pool->send(m_codec.write_attempt(action, action.deadline - now),
               [this, action, now](http_exchange_result reply)
               {
                   net::dispatch(m_strand,
                                 [this, action, now, reply = std::move(reply)]() mutable
                                 {
                                     on_reply(action, now, std::move(reply));
                                 });
               });
}

void routed_front::on_reply(const start_routed_attempt& sent, time_point sent_at, http_exchange_result reply)
{
    const time_point now = m_clock.now();
    m_attempts.erase(sent.attempt);
    m_metrics.observe(metrics::timer::attempt, now - sent_at);
    const exchange_end end = reply.end;
    const int status = reply.status;
    routed_reply read = m_codec.read_reply(std::move(reply), sent.part);
    if (read.result.status != dispatch::attempt_status::answered)
    {
        log(log_level::info, "attempt_failed",
            {{"request", sent.sent->id},
             {"service", sent.service.str()},
             {"backend_server", sent.server.str()},
             {"end", name_of(end)},
             {"status", status},
             {"after_ms", (now - sent_at).ms()}});
    }
    m_router.attempt_ended(sent.attempt, read.result, std::move(read.answer), now);
    carry_out();
}

void routed_front::carry(const cancel_routed_attempt& action)
{
    m_metrics.add(metrics::counter::cancels);
    const auto found = m_attempts.find(action.attempt);
    if (found != m_attempts.end())
    {
        found->second->close(action.attempt);
    }
}

void routed_front::carry(const answer_request& action)
{
    const auto found = m_callers.find(action.request);
    if (found == m_callers.end())
    {
        return;
    }
    const caller from = std::move(found->second);
    m_callers.erase(found);
    const duration took = m_clock.now() - from.arrived;
    routed_outcome outcome = action.outcome;
    outcome.took = took;
    if (from.asked_by.empty())
    {
        m_metrics.add(counter_of(outcome));
        m_metrics.observe(metrics::timer::query, took);
    }
    else
    {
        m_asked.erase({from.asked_by, from.asked_number});
    }
    log_answer(from, outcome, took);
    from.respond(outcome);
}

void routed_front::carry(const tell_progress_to_entry& action)
{
    const auto found = m_callers.find(action.request);
    if (found != m_callers.end())
    {
        found->second.respond(action.outcome);
    }
}

void routed_front::log_answer(const caller& from, const routed_outcome& outcome, duration took) const
{
    log(log_level::info, "answer",
        {{"request", from.id},
         {"asked_by", from.asked_by},
         {"route", outcome.route},
         {"end", name_of(outcome.end)},
         {"status", outcome.answer ? outcome.answer->status : 0},
         {"parts", outcome.signatures.size()},
         {"missing", outcome.missing},
         {"missing_services", joined(outcome.missing_services)},
         {"reason", nlohmann::json(outcome.reason).get<std::string>()},
         {"elsewhere", joined(outcome.elsewhere)},
         {"attempts", outcome.attempts},
         {"retry_after_ms", outcome.retry_after.ms()},
         {"revision", outcome.revision},
         {"after_ms", took.ms()}});
}

void routed_front::schedule()
{
    const time_point next = m_router.next_time();
    if (next >= m_timer_at && m_timer_at > m_clock.now())
    {
        // It is set for an earlier moment already, and is set anew then.
        return;
    }
    m_timer_at = next;
    if (next == time_point::never())
    {
        return;
    }
    m_timer.expires_after(std::chrono::microseconds((next - m_clock.now()).us()));
    m_timer.async_wait(
        [this, next](const boost::system::error_code& stopped)
        {
            if (!stopped && m_timer_at == next)
            {
                m_timer_at = time_point::never();
                m_router.on_time(m_clock.now());
                carry_out();
            }
        });
}

// ---------------------------------------------------------------------------------------------------------
// inspection
// ---------------------------------------------------------------------------------------------------------

void routed_front::dump(std::function<void(nlohmann::json)> done)
{
    net::post(m_strand,
              [this, done = std::move(done)]
              {
                  done(dump_state());
              });
}

nlohmann::json routed_front::dump_state() const
{
    return {{"open", m_open.load()},
            {"open_requests", m_router.open_requests()},
            {"backend_servers", m_servers.size()},
            {"running_attempts", m_attempts.size()}};
}

} // namespace flaxtiller::shell
