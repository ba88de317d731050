#include "entry_implementation.hpp"

#include "shell/run_guarded.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace flaxtiller::shell
{

namespace
{

constexpr duration link_tick = duration::from_ms(20);
/// Links are looked at this often in a heartbeat, but no more often than @ref link_tick.
constexpr double link_tick_share = 0.25;
constexpr duration pools_every = duration::from_ms(1000);

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

http_server::limits entry_process::implementation::limits_of(const entry_settings& settings)
{
    http_server::limits limits;
    limits.most_body_bytes = static_cast<std::size_t>(settings.most_request_bytes);
    limits.request_timeout_ms = settings.request_timeout_ms;
    return limits;
}

service_coordinator::options entry_process::implementation::options_of(const entry_settings& settings)
{
    service_coordinator::options options;
    options.scheduling = settings.dispatch;
    options.most_queries = static_cast<std::size_t>(settings.most_queries_per_service);
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
                log(log_level::info, "reload_ignored", {{"reason", "settings hold from start to stop"}});
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
    const duration span = suspensions.since_last();
    if (span == duration{})
    {
        return;
    }
    log(log_level::warning, "was_suspended", {{"for_ms", span.ms()}});
    if (routed)
    {
        routed->catch_up();
    }
    for (const auto& [service, lane] : table.load()->lanes)
    {
        lane->post(time_passed{});
    }
}

void entry_process::implementation::drain()
{
    draining = true;
    drain_until = clock.now() + duration::from_ms(settings.drain_bound_ms);
    drain_end = drain_until + duration::from_ms(settings.drain_bound_ms * settings.drain_end_share);
    drained_at_least = clock.now() + duration::from_ms(settings.least_drain_ms);
    if (routed)
    {
        routed->close_after_reply();
    }
    log(log_level::info, "draining",
        {{"in_flight", callers.in_flight()}, {"bound_ms", settings.drain_bound_ms}});
    // New connections go on being accepted until the balancer has noticed; see docs/OPERATIONS.md.
    check_drained(0);
}

void entry_process::implementation::check_drained(int quiet_checks)
{
    constexpr duration check_every = duration::from_ms(50);
    constexpr int quiet_needed = 20;
    // For the last answers to leave: some ways to callers, within the tenth that a stop keeps back.
    constexpr duration last_answers = duration::from_ms(200);
    std::size_t open = callers.in_flight() + (routed ? routed->in_flight() : 0);
    for (const auto& [name, lane] : table.load()->lanes)
    {
        open += lane->open_queries();
    }
    const int quiet = open == 0 ? quiet_checks + 1 : 0;
    const time_point now = clock.now();
    const bool quiet_long = quiet >= quiet_needed && now >= drained_at_least;
    if (quiet_long || (now >= drain_until && open == 0) || now >= drain_end + last_answers)
    {
        log(log_level::info, "stopped", {{"in_flight", open}});
        io.stop();
        return;
    }
    if (now >= drain_until && !closing)
    {
        // Callers that still use their connections find them closed; what was read is answered.
        closing = true;
        callers.drain();
        if (routed)
        {
            routed->drain();
        }
    }
    if (now >= drain_end && !answered_all)
    {
        // Ending with them open would cut requests that were passed on, without a word to their callers.
        answered_all = true;
        log(log_level::warning, "drain_bound_reached", {{"in_flight", open}});
        if (routed)
        {
            routed->answer_all();
        }
    }
    after(drain_timer, check_every,
          [this, quiet]
          {
              check_drained(quiet);
          });
}

entry_process::entry_process(entry_settings settings)
    : m_implementation(std::make_unique<implementation>(std::move(settings)))
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
            // Callers wait for the first link to control.
            return self.serves() ? std::max(link_tick, self.settings.links.heartbeat * link_tick_share)
                                 : link_tick;
        },
        [&self]
        {
            self.check_suspension();
            self.links.tick();
        });
    self.repeat(self.report_timer, self.settings.report_every,
                [&self]
                {
                    self.report();
                });
    self.repeat(self.pools_timer, pools_every,
                [&self]
                {
                    const auto now_in_force = self.table.load();
                    if (now_in_force->placed)
                    {
                        self.configure_pools(*now_in_force->placed, nullptr);
                    }
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
        self.io, implementation::limits_of(self.settings),
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
