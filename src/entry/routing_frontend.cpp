#include "routing_frontend.hpp"

#include "http/http_status.hpp"
#include "http/json_reply.hpp"
#include "process/log.hpp"
#include "process/system.hpp"
#include "waiting_report.hpp"

#include <flaxtiller/dispatch/owner_choice.hpp>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;

namespace
{

/// A connection isn't read while its request is answered. The requests of callers are small, so that a small
/// window doesn't delay them.
constexpr int caller_receive_buffer_bytes = 64 << 10;

http_reply not_ready()
{
    http_reply reply = error_reply(http_unavailable, errc::not_ready);
    reply.headers.add("Retry-After", "0.200");
    return reply;
}

http_server::limits limits_of(const request_limits& declared, std::size_t most_connections)
{
    http_server::limits limits;
    limits.most_header_bytes = declared.header_bytes;
    limits.most_body_bytes = declared.body_bytes;
    limits.request_timeout_ms = static_cast<int>(declared.header_timeout.ms());
    limits.idle_timeout_ms = static_cast<int>(declared.idle_timeout.ms());
    limits.most_connections = most_connections;
    limits.receive_buffer_bytes = caller_receive_buffer_bytes;
    return limits;
}

/// @return the owners with the longest reported delays and the ages of these reports
nlohmann::json dump_of(const owner_delays& delays, time_point now)
{
    constexpr std::size_t max_shown = 10;
    nlohmann::json dumped = nlohmann::json::array();
    for (const delay_report& item : delays.longest(max_shown, now))
    {
        dumped.push_back({{"entry", item.owner.str()},
                          {"delay_ms", item.delay.ms()},
                          {"heard_ms_ago", (now - item.received_at).ms()}});
    }
    return dumped;
}

/// @return the options with numbers that no earlier run of this process has used
router_options with_new_numbers(router_options options)
{
    options.first_number = first_number_of_run();
    return options;
}

} // namespace

routing_frontend::routing_frontend(net::io_context& io, metrics& counted,
                                   const registration_times& registered_at, std::size_t most_connections,
                                   const router_options& options, routed_header_names names, sender send,
                                   owners_handler owners, crash_records_handler crashes,
                                   witness_report_handler witnesses)
    : m_metrics(counted), m_registered_at(registered_at), m_most_connections(most_connections),
      m_strand(net::make_strand(io)), m_timer(m_strand), m_codec(std::move(names)), m_send(std::move(send)),
      m_report_owners(std::move(owners)), m_report_crash_records(std::move(crashes)),
      m_report_to_witnesses(std::move(witnesses)), m_admission(options.load, first_number_of_run()),
      m_router(with_new_numbers(options)), m_pools(m_strand, counted),
      m_server(
          io, limits_of({}, most_connections),
          [this](const http_request& request, http_server::respond respond)
          {
              on_request(request, std::move(respond));
          },
          [this](const http_request& head, int status)
          {
              on_refusal(head, status);
          })
{
}

std::error_code routing_frontend::listen(const address& at)
{
    return m_server.listen(at);
}

void routing_frontend::open()
{
    m_open = true;
}

void routing_frontend::set_confirmed(time_point at, time_point until) noexcept
{
    m_confirmed_at_us.store(at.since_start().us(), std::memory_order_relaxed);
    m_confirmed_until_us.store(until.since_start().us(), std::memory_order_relaxed);
}

time_point routing_frontend::check_confirmation()
{
    const time_point until(duration::from_us(m_confirmed_until_us.load(std::memory_order_relaxed)));
    m_admission.set_confirmed_until(until);
    m_router.set_confirmed_until(until);
    return m_clock.now();
}

void routing_frontend::close_after_reply()
{
    m_server.close_after_reply();
}

void routing_frontend::drain()
{
    m_server.drain();
}

void routing_frontend::answer_all()
{
    net::dispatch(m_strand,
                  [this]
                  {
                      m_router.answer_all();
                      execute_actions();
                  });
}

std::size_t routing_frontend::in_flight() const noexcept
{
    return m_server.in_flight();
}

// ---------------------------------------------------------------------------------------------------------
// configuration
// ---------------------------------------------------------------------------------------------------------

void routing_frontend::update(const routing_view& view, const request_limits& limits)
{
    m_server.set_limits(limits_of(limits, m_most_connections));
    report_body_limit(limits.body_bytes);
    net::dispatch(m_strand,
                  [this, view]
                  {
                      m_admission.configure(view);
                      // Before the router starts attempts for waiting requests by the new configuration.
                      for (const request_number number : m_admission.take_withdrawn())
                      {
                          m_router.withdraw(number);
                      }
                      m_router.configure(view, m_clock.now());
                      configure_pools(*view.placed);
                      m_report_owners(m_router.owners_to_link());
                      execute_actions();
                  });
}

/// Logs once that the configuration allows a body for which this process has no memory.
void routing_frontend::report_body_limit(std::size_t body_bytes)
{
    const std::size_t most_bytes = message_memory::of_requests().bounds().lone_bytes;
    if (body_bytes > most_bytes && body_bytes != m_reported_body_bytes)
    {
        log(log_level::warning, "body_limit_exceeds_memory",
            {{"configured_bytes", body_bytes}, {"accepted_bytes", most_bytes}});
    }
    m_reported_body_bytes = body_bytes;
}

void routing_frontend::configure_pools(const placement& placed)
{
    for (const auto& [name, service] : placed.services)
    {
        const int sharers = m_router.connection_sharers_of(name);
        const auto [known, is_new] = m_services_with_pools.try_emplace(name);
        pooled_service& before = known->second;
        if (!is_new && before.sharers == sharers && before.placed.is_shared_with(service))
        {
            continue;
        }
        // The new backend servers are counted before the old ones are released, so that the pools of backend
        // servers in both sets are kept.
        for (const auto& replicas : service->shards)
        {
            for (const backend_server& server : replicas)
            {
                configure_pool(server, sharers);
            }
        }
        release(*before.placed);
        before = {service, sharers};
    }
    if (m_services_with_pools.size() == placed.services.size())
    {
        return;
    }
    std::erase_if(m_services_with_pools,
                  [&](const auto& item)
                  {
                      const bool declared = placed.services.count(item.first) > 0;
                      if (!declared)
                      {
                          release(*item.second.placed);
                      }
                      return !declared;
                  });
}

void routing_frontend::configure_pool(const backend_server& server, int sharers)
{
    pool_state& pool = m_servers[server.name];
    ++pool.uses;
    const int connections = dispatch::direct_share_of(server, sharers).connections;
    if (pool.born_ms != server.born_ms)
    {
        // Connections to the previous run of the backend server may hang: an instance that lost power doesn't
        // close its connections.
        m_pools.remove(server.name);
        pool.address.clear();
        pool.born_ms = server.born_ms;
    }
    if (pool.address == server.address && pool.connections == connections)
    {
        return;
    }
    const auto at = parse_address(server.address);
    if (!at)
    {
        log(log_level::warning, "address_malformed",
            {{"backend_server", server.name.str()}, {"address", server.address}});
        return;
    }
    pool.address = server.address;
    pool.connections = connections;
    m_pools.configure(server.name, *at, connections, 0);
}

/// Removes the pools of backend servers that no shard of any service is placed on.
void routing_frontend::release(const placed_service& service)
{
    for (const auto& replicas : service.shards)
    {
        for (const backend_server& server : replicas)
        {
            const auto known = m_servers.find(server.name);
            if (known != m_servers.end() && --known->second.uses == 0)
            {
                m_pools.remove(server.name);
                m_servers.erase(known);
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// requests
// ---------------------------------------------------------------------------------------------------------

void routing_frontend::on_request(const http_request& request, http_server::respond respond)
{
    m_metrics.add(metrics::counter::queries);
    if (!m_open.load(std::memory_order_acquire))
    {
        m_metrics.add(metrics::counter::answers_refused);
        log(log_level::info, "request_refused",
            {{"request", m_codec.request_id_of(request)},
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
            {{"request", m_codec.request_id_of(request)}, {"target", request.target}});
        respond(
            error_reply(http_bad_request, errc::message_malformed, "needs an id and a readable deadline"));
        return;
    }
    const request_number number = m_next_request++;
    *request.on_gone = [this, number]
    {
        net::dispatch(m_strand,
                      [this, number]
                      {
                          on_caller_gone(number);
                      });
    };
    caller from;
    from.id = read->id;
    from.respond = [this, respond = std::move(respond)](const routed_outcome& outcome)
    {
        respond(m_codec.write_answer(outcome));
    };
    net::dispatch(m_strand,
                  [this, number, read = std::move(*read), key = m_codec.key_of(request),
                   from = std::move(from)]() mutable
                  {
                      arrive_from_caller(number, std::move(read), key, std::move(from));
                  });
}

void routing_frontend::on_refusal(const http_request& head, int status) const
{
    m_metrics.add(metrics::counter::unread_requests_refused);
    log(log_level::info, "unread_request_refused",
        {{"request", m_codec.request_id_of(head)}, {"target", head.target}, {"status", status}});
}

void routing_frontend::arrive_from_caller(request_number number, routed_request request,
                                          const std::string& key, caller from)
{
    const time_point now = check_confirmation();
    from.arrived = now;
    m_callers.emplace(number, std::move(from));
    m_admission.arrive(number, std::move(request), key, now);
    execute_actions();
}

/// Accepts a request that another entry delegated. That entry has already checked admission.
void routing_frontend::arrive(request_number number, std::shared_ptr<const routed_request> request,
                              caller from)
{
    const time_point now = m_clock.now();
    from.arrived = now;
    m_delegations[{from.delegated_by, from.delegation}] = number;
    m_callers.emplace(number, std::move(from));
    m_router.arrive(number, std::move(request), now);
    execute_actions();
}

void routing_frontend::on_caller_gone(request_number number)
{
    const auto found = m_callers.find(number);
    if (found == m_callers.end())
    {
        return;
    }
    log(log_level::info, "caller_gone",
        {{"request", found->second.id}, {"after_ms", (m_clock.now() - found->second.arrived).ms()}});
    m_delegations.erase({found->second.delegated_by, found->second.delegation});
    m_callers.erase(found);
    m_admission.caller_gone(number);
    m_router.caller_gone(number, m_clock.now());
    execute_actions();
}

// ---------------------------------------------------------------------------------------------------------
// inspection
// ---------------------------------------------------------------------------------------------------------

void routing_frontend::dump(std::function<void(nlohmann::json)> done)
{
    net::post(m_strand,
              [this, done = std::move(done)]
              {
                  done(dump_state());
              });
}

/// @return the state of admission control; of the priorities, the most urgent ones
nlohmann::json routing_frontend::dump_admission() const
{
    constexpr std::size_t max_priorities = 10;
    const time_point now = m_clock.now();
    const open_request_limit& limit = m_router.open_limit();
    nlohmann::json priorities = nlohmann::json::object();
    for (const auto& [priority, item] : limit.priorities())
    {
        if (priorities.size() < max_priorities)
        {
            priorities[std::to_string(priority)] = {
                {"open", item.open}, {"admitted", item.total_admitted}, {"refused", item.total_refused}};
        }
    }
    return {{"bound", limit.bound()},
            {"open", limit.open()},
            {"delay_ms", m_router.delay_at(now).ms()},
            {"margin", m_router.completion_margin_share()},
            {"answers_per_s", m_router.returns().rate_per_s(now)},
            {"priorities", std::move(priorities)}};
}

nlohmann::json routing_frontend::dump_state() const
{
    nlohmann::json teams = nlohmann::json::object();
    for (const auto& [name, counted] : m_admission.counted())
    {
        teams[name.str()] = {{"admitted", counted.admitted}, {"over_limit", counted.over_limit}};
    }
    nlohmann::json reports = nlohmann::json::object();
    for (const auto& [service, ages] : m_router.ages_of_load_reports(m_clock.now()))
    {
        reports[service.str()] = {{"with", ages.with},
                                  {"without", ages.without},
                                  {"newest_ms", ages.newest.ms()},
                                  {"oldest_ms", ages.oldest.ms()}};
    }
    return {{"open", m_open.load()},
            {"teams", std::move(teams)},
            {"load_reports", std::move(reports)},
            {"crash_records", m_router.crashes().all(1, m_clock.now())},
            {"open_requests", m_router.open_requests()},
            {"owner_delays", dump_of(m_router.delays_of_owners(), m_clock.now())},
            {"admission", dump_admission()},
            {"backend_servers", m_servers.size()},
            {"running_attempts", m_attempts.size()},
            {"waiting", waiting_report(m_router.waiting_work())}};
}

} // namespace flaxtiller::shell
