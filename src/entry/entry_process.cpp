#include "entry_implementation.hpp"

#include "process/run_guarded.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace flaxtiller::shell
{

namespace
{

constexpr duration min_link_poll_interval = duration::from_ms(20);
/// The interval for polling links, as a fraction of the heartbeat interval; at least
/// @ref min_link_poll_interval.
constexpr double link_poll_share = 0.25;
constexpr duration pool_update_interval = duration::from_ms(1000);

} // namespace

std::vector<std::string> entry_process::implementation::names_of(const std::vector<named_address>& items)
{
    std::vector<std::string> names;
    for (const named_address& item : items)
    {
        names.push_back(item.name);
    }
    return names;
}

http_server::limits entry_process::implementation::limits_of(const entry_settings& settings,
                                                             std::size_t connections)
{
    http_server::limits limits;
    limits.most_body_bytes = static_cast<std::size_t>(settings.most_request_bytes);
    limits.request_timeout_ms = settings.request_timeout_ms;
    limits.most_connections = connections;
    return limits;
}

service_coordinator::options entry_process::implementation::options_of(const entry_settings& settings)
{
    service_coordinator::options options;
    options.scheduling = settings.dispatch;
    options.max_open_queries = static_cast<std::size_t>(settings.most_queries_per_service);
    return options;
}

void entry_process::implementation::on_signal()
{
    signals.async_wait(
        [this](const boost::system::error_code& stopped, int number)
        {
            if (stopped)
            {
                return;
            }
            if (number == SIGHUP)
            {
                net::post(strand,
                          [this]
                          {
                              reload_settings(settings_reload::cause::signal);
                          });
                on_signal();
                return;
            }
            if (draining)
            {
                log(log_level::warning, "stopped_at_once", {{"in_flight", callers.in_flight()}});
                io.stop();
                return;
            }
            net::post(strand,
                      [this]
                      {
                          drain();
                      });
            on_signal();
        });
}

void entry_process::implementation::check_suspension()
{
    const duration span = suspension_detector.since_last();
    if (span == duration{})
    {
        return;
    }
    log(log_level::warning, "was_suspended", {{"for_ms", span.ms()}});
    if (routed)
    {
        routed->handle_due_timers();
    }
    for (const auto& [service, runner] : current_snapshot.load()->runners)
    {
        runner->post(time_passed{});
    }
}

void entry_process::implementation::drain()
{
    draining = true;
    drain_deadline = clock.now() + duration::from_ms(settings.drain_bound_ms);
    final_answers_at = drain_deadline + duration::from_ms(settings.drain_bound_ms * settings.drain_end_share);
    earliest_drain_end = clock.now() + duration::from_ms(settings.least_drain_ms);
    if (routed)
    {
        routed->close_after_reply();
    }
    log(log_level::info, "draining",
        {{"in_flight", callers.in_flight()}, {"bound_ms", settings.drain_bound_ms}});
    // New connections are accepted until the load balancer has removed this instance; see docs/OPERATIONS.md.
    check_drained(0);
}

void entry_process::implementation::check_drained(int idle_checks)
{
    constexpr duration check_every = duration::from_ms(50);
    constexpr int idle_checks_needed = 20;
    // Time for the final answers to reach their callers: several one-way latencies, within the tenth of the
    // drain bound that is reserved for the end of the process.
    constexpr duration final_answer_grace = duration::from_ms(200);
    std::size_t open = callers.in_flight() + (routed ? routed->in_flight() : 0);
    for (const auto& [name, runner] : current_snapshot.load()->runners)
    {
        open += runner->open_queries();
    }
    const int consecutive_idle = open == 0 ? idle_checks + 1 : 0;
    const time_point now = clock.now();
    const bool idle_long_enough = consecutive_idle >= idle_checks_needed && now >= earliest_drain_end;
    if (idle_long_enough || (now >= drain_deadline && open == 0) ||
        now >= final_answers_at + final_answer_grace)
    {
        log(log_level::info, "stopped", {{"in_flight", open}});
        io.stop();
        return;
    }
    if (now >= drain_deadline && !closing)
    {
        // Closes the connections that callers still use. Requests that were already read are answered.
        closing = true;
        callers.drain();
        if (routed)
        {
            routed->drain();
        }
    }
    if (now >= final_answers_at && !final_answers_sent)
    {
        // Ending the process now would drop requests that were already forwarded, without an answer to their
        // callers.
        final_answers_sent = true;
        log(log_level::warning, "drain_bound_reached", {{"in_flight", open}});
        if (routed)
        {
            routed->answer_all();
        }
    }
    after(drain_timer, check_every,
          [this, consecutive_idle]
          {
              check_drained(consecutive_idle);
          });
}

entry_process::entry_process(entry_settings settings, settings_source source)
    : m_implementation(std::make_unique<implementation>(std::move(settings), std::move(source)))
{
}

entry_process::~entry_process() = default;

findings entry_process::open()
{
    implementation& self = *m_implementation;
    findings found;
    if (self.routed && self.routed->listen(self.settings.routed))
    {
        found.error(errc::address_in_use, "/listen/routed", self.settings.routed.str());
    }
    if (self.settings.callers.port != 0 && self.callers.listen(self.settings.callers))
    {
        found.error(errc::address_in_use, "/listen/callers", self.settings.callers.str());
    }
    if (self.operators.listen(self.settings.operators))
    {
        found.error(errc::address_in_use, "/listen/operators", self.settings.operators.str());
    }
    std::string why;
    if (!self.links.listen(self.settings.link, why))
    {
        found.error(errc::address_in_use, "/listen/link", self.settings.link.str() + ": " + why);
    }
    return found;
}

int entry_process::run()
{
    implementation& self = *m_implementation;
    self.links.set_peers(self.settings.control);
    self.links.start();
    self.repeat(
        self.link_timer,
        [&self]
        {
            // Callers are refused until the first link to a control replica is established.
            return self.serves()
                       ? std::max(min_link_poll_interval, self.settings.links.heartbeat * link_poll_share)
                       : min_link_poll_interval;
        },
        [&self]
        {
            self.check_suspension();
            self.links.tick();
            self.track_leader_contact();
        });
    self.repeat(self.report_timer, self.settings.report_every,
                [&self]
                {
                    self.report();
                });
    self.repeat(self.crash_resend_timer, crash_ledger::resend_interval,
                [&self]
                {
                    if (self.routed)
                    {
                        self.routed->report_recent_crash_records();
                    }
                });
    self.repeat(self.pools_timer, pool_update_interval,
                [&self]
                {
                    const auto snapshot = self.current_snapshot.load();
                    if (snapshot->placed)
                    {
                        self.configure_pools(*snapshot->placed, nullptr);
                    }
                });
    self.repeat(self.caller_watch_timer, caller_watch_interval,
                [&self]
                {
                    self.callers_watched.check(self.routed ? self.routed->server() : self.callers);
                });
    self.on_signal();
    if (self.settings.platform_list.port != 0)
    {
        self.platform_poller = std::thread(
            [&self]
            {
                self.poll_platform();
            });
    }
    log(log_level::info, "started",
        {{"callers", self.settings.callers.str()},
         {"routed", self.settings.routed.str()},
         {"operators", self.settings.operators.str()}});
    std::vector<std::thread> threads;
    for (int i = 0; i < self.settings.threads; ++i)
    {
        threads.emplace_back(
            [&self]
            {
                run_guarded(self.io);
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    self.stopping = true;
    if (self.platform_poller.joinable())
    {
        self.platform_poller.join();
    }
    flush_log();
    return 0;
}

findings entry_process::serve(const address& at, gateway_handler handler)
{
    implementation& self = *m_implementation;
    findings found;
    self.gateway = std::make_unique<http_server>(
        self.io, implementation::limits_of(self.settings, self.bounds.other_connections),
        [this, handler = std::move(handler)](const http_request& request, const http_server::respond& respond)
        {
            respond(handler(*this, request));
        });
    if (self.gateway->listen(at))
    {
        found.error(errc::address_in_use, "/listen", at.str());
    }
    return found;
}

bool entry_process::is_ready() const
{
    const implementation& self = *m_implementation;
    return !self.draining && self.serves();
}

} // namespace flaxtiller::shell
