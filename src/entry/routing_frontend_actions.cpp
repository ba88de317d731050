// The part of routing_frontend that executes the actions of admission and router.

#include "routing_frontend.hpp"

#include "process/joined_names.hpp"
#include "process/log.hpp"

#include <flaxtiller/quarantine/request_fingerprint.hpp>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
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
    case routed_end::unauthorized:
        return "unauthorized";
    case routed_end::over_limit:
        return "over_limit";
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
    case exchange_end::hung_up:
        return "hung_up";
    case exchange_end::closed:
        return "closed";
    case exchange_end::foreign:
        break;
    }
    return "foreign";
}

const char* name_of(crash_ledger::quarantine_state quarantine_state)
{
    switch (quarantine_state)
    {
    case crash_ledger::quarantine_state::suspect:
        return "suspect";
    case crash_ledger::quarantine_state::quarantined:
        return "quarantined";
    case crash_ledger::quarantine_state::clear:
        break;
    }
    return "clear";
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
    case routed_end::unauthorized:
    case routed_end::over_limit:
    case routed_end::refused:
        return metrics::counter::answers_refused;
    case routed_end::failed:
    case routed_end::late:
        break;
    }
    return metrics::counter::answers_unknown;
}

const char* name_of(admission_decision::verdict decided)
{
    using verdict = admission_decision::verdict;
    switch (decided)
    {
    case verdict::admitted:
        return "admitted";
    case verdict::admitted_late:
        return "admitted_late";
    case verdict::past_deadline:
        return "past_deadline";
    case verdict::past_objective:
        return "past_objective";
    case verdict::too_many_open:
        break;
    }
    return "too_many_open";
}

/// @param decided the verdict of a refusal
metrics::counter counter_of(admission_decision::verdict decided)
{
    using verdict = admission_decision::verdict;
    if (decided == verdict::past_deadline)
    {
        return metrics::counter::refused_past_deadline;
    }
    return decided == verdict::past_objective ? metrics::counter::refused_past_objective
                                              : metrics::counter::refused_too_many_open;
}

} // namespace

void routing_frontend::execute_actions()
{
    for (const admission_action& action : m_admission.take_actions(m_clock.now()))
    {
        std::visit(
            [this](const auto& item)
            {
                execute(item);
            },
            action);
    }
    for (auto pending = m_router.take_actions(); !pending.empty(); pending = m_router.take_actions())
    {
        for (const router_action& action : pending)
        {
            std::visit(
                [this](const auto& item)
                {
                    execute(item);
                },
                action);
        }
    }
    schedule_timer();
}

void routing_frontend::execute(const admit_request& action)
{
    const auto from = m_callers.find(action.request);
    if (from != m_callers.end())
    {
        from->second.team = action.admitted->team.str();
        // The request may have waited for the rate limit coordinator.
        const time_point now = check_confirmation();
        m_router.arrive(action.request, action.admitted, now);
    }
}

void routing_frontend::execute(const reject_request& action)
{
    if (action.over_limit)
    {
        log_over_limit(action);
    }
    execute(answer_request{action.request, action.outcome});
}

void routing_frontend::log_over_limit(const reject_request& action) const
{
    const auto from = m_callers.find(action.request);
    const rate_limiter::decision& made = *action.over_limit;
    log(log_level::info, "over_limit",
        {{"request", from == m_callers.end() ? std::string() : from->second.id},
         {"team", made.team.str()},
         {"keeper", m_rate_limit_coordinator},
         {"alone", made.decided_locally},
         {"heard_ms_ago", made.last_contact_ago.ms()},
         {"retry_after_ms", made.retry_after.ms()},
         {"limited", made.limited},
         {"unacknowledged", made.unacknowledged}});
}

void routing_frontend::execute(const send_limit_report& action)
{
    if (!m_rate_limit_coordinator.empty())
    {
        m_send(m_rate_limit_coordinator, action.report);
    }
}

void routing_frontend::execute(const send_witness_report& action)
{
    m_report_to_witnesses(action.report, m_rate_limit_coordinator);
}

double routing_frontend::known_for_ms(const backend_server_name& server, time_point at) const
{
    const std::optional<duration> age = m_registered_at.age_of(server, at);
    return age ? age->ms() : -1.0;
}

void routing_frontend::execute(const start_routed_attempt& action)
{
    m_metrics.add(metrics::counter::attempts);
    const time_point now = m_clock.now();
    if (action.ordinal > 1 || action.on_trial)
    {
        log(log_level::info, "attempt_again",
            {{"request", action.sent->id},
             {"service", action.service.str()},
             {"backend_server", action.server.str()},
             {"ordinal", action.ordinal},
             {"on_trial", action.on_trial},
             {"known_for_ms", known_for_ms(action.server, now)}});
    }
    const auto pool = m_pools.find(action.server);
    if (!pool)
    {
        // The pool was removed by an earlier change of the backend servers. The end of the attempt is
        // reported asynchronously, like any other.
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
                   // The pools run on this strand, so no switch is needed.
                   on_reply(action, now, std::move(reply));
               });
}

void routing_frontend::on_reply(const start_routed_attempt& sent, time_point sent_at,
                                http_exchange_result reply)
{
    const time_point now = m_clock.now();
    m_attempts.erase(sent.attempt);
    m_metrics.observe(metrics::timer::attempt, now - sent_at);
    const exchange_end end = reply.end;
    const reply_fault fault = reply.fault;
    const int status = reply.status;
    routed_reply read = m_codec.read_reply(std::move(reply), sent.part);
    if (read.has_malformed_load)
    {
        m_metrics.add(metrics::counter::malformed_load_reports);
    }
    const bool failed = read.result.status != dispatch::attempt_status::answered;
    m_router.attempt_ended(sent.attempt, read.result, std::move(read.answer), now);
    if (failed)
    {
        const dispatch::scheduler* scheduler = m_router.scheduler_of(sent.service);
        log(log_level::info, "attempt_failed",
            {{"request", sent.sent->id},
             {"fingerprint", fingerprint_of(*sent.sent).str()},
             {"service", sent.service.str()},
             {"backend_server", sent.server.str()},
             {"end", name_of(end)},
             {"fault", name_of(fault)},
             {"on_trial", sent.on_trial},
             {"status", status},
             {"after_ms", (now - sent_at).ms()},
             {"known_for_ms", known_for_ms(sent.server, sent_at)},
             {"failure_rate", scheduler == nullptr ? 0.0 : scheduler->failure_rate_of(sent.server, now)},
             {"allowance", scheduler == nullptr ? 0.0 : scheduler->budget()}});
    }
    execute_actions();
}

void routing_frontend::execute(const cancel_routed_attempt& action)
{
    m_metrics.add(metrics::counter::cancels);
    const auto found = m_attempts.find(action.attempt);
    if (found != m_attempts.end())
    {
        found->second->close(action.attempt);
    }
}

void routing_frontend::execute(const answer_request& action)
{
    const auto found = m_callers.find(action.request);
    if (found == m_callers.end())
    {
        return;
    }
    const caller from = std::move(found->second);
    m_callers.erase(found);
    m_admission.request_ended(action.request);
    const duration elapsed = m_clock.now() - from.arrived;
    routed_outcome outcome = action.outcome;
    outcome.took = elapsed;
    if (from.delegated_by.empty())
    {
        m_metrics.add(counter_of(outcome));
        m_metrics.observe(metrics::timer::query, elapsed);
    }
    else
    {
        m_delegations.erase({from.delegated_by, from.delegation});
    }
    if (outcome.admission)
    {
        m_metrics.add(counter_of(outcome.admission->decided));
        log_admission_refused(from, outcome);
    }
    if (outcome.reason == missing_reason::unconfirmed)
    {
        m_metrics.add(metrics::counter::refused_unconfirmed);
    }
    log_answer(from, outcome, elapsed);
    from.respond(outcome);
}

void routing_frontend::execute(const send_partial_outcome& action)
{
    const auto found = m_callers.find(action.request);
    if (found != m_callers.end())
    {
        found->second.respond(action.outcome);
    }
}

void routing_frontend::execute(const publish_crash_records& action)
{
    m_report_crash_records(crash_news{action.records});
}

void routing_frontend::execute(const report_quarantine_state& action)
{
    using quarantine_state = crash_ledger::quarantine_state;
    if (action.quarantine_state != quarantine_state::clear)
    {
        m_metrics.add(action.quarantine_state == quarantine_state::suspect
                          ? metrics::counter::requests_suspected
                          : metrics::counter::requests_quarantined);
    }
    std::vector<backend_server_name> servers;
    for (const server_crash& crash : action.record.crashes)
    {
        servers.push_back(crash.server);
    }
    log(log_level::info, "request_standing",
        {{"fingerprint", action.request.str()},
         {"standing", name_of(action.quarantine_state)},
         {"crashed", joined_names(servers)},
         {"crashes", servers.size()},
         {"last_ms_ago", action.record.age.ms()},
         {"held", action.held}});
}

/// States the inputs of the decision, from which it can be repeated.
void routing_frontend::log_admission_refused(const caller& from, const routed_outcome& outcome) const
{
    const admission_decision& made = *outcome.admission;
    log(log_level::info, "admission_refused",
        {{"request", from.id},
         {"team", from.team},
         {"route", outcome.route},
         {"priority", made.priority},
         {"verdict", name_of(made.decided)},
         {"expected_ms", made.expected.time.ms()},
         {"expected_wait_ms", made.expected.wait.ms()},
         {"objective_ms", made.objective.ms()},
         {"margin", made.margin},
         {"deadline_ms", made.deadline.ms()},
         {"bound", made.bound},
         {"open", made.open},
         {"delay_ms", made.processing_delay.ms()},
         {"retry_after_ms", outcome.retry_after.ms()}});
}

void routing_frontend::log_answer(const caller& from, const routed_outcome& outcome, duration elapsed) const
{
    log(log_level::info, "answer",
        {{"request", from.id},
         {"asked_by", from.delegated_by},
         {"team", from.team},
         {"route", outcome.route},
         {"end", name_of(outcome.end)},
         {"status", outcome.answer ? outcome.answer->status : 0},
         {"parts", outcome.signatures.size()},
         {"top_records", outcome.top_records},
         {"missing", outcome.missing},
         {"missing_services", joined_names(outcome.missing_services)},
         {"reason", nlohmann::json(outcome.reason).get<std::string>()},
         {"fingerprint", outcome.crashes.empty() ? std::string() : outcome.crashes.front().request.str()},
         {"elsewhere", joined_names(outcome.delegates)},
         {"attempts", outcome.attempts},
         {"retry_after_ms", outcome.retry_after.ms()},
         {"revision", outcome.revision},
         {"after_ms", elapsed.ms()}});
    log_unknown(from, outcome);
}

/// Logs the age of the leader's confirmation by which a request whose route or key the configuration lacks is
/// answered or refused.
void routing_frontend::log_unknown(const caller& from, const routed_outcome& outcome) const
{
    const bool is_unknown = outcome.end == routed_end::no_route || outcome.end == routed_end::unauthorized ||
                            outcome.reason == missing_reason::unconfirmed;
    if (!is_unknown || !from.delegated_by.empty())
    {
        return;
    }
    const duration at = duration::from_us(m_confirmed_at_us.load(std::memory_order_relaxed));
    const duration until = duration::from_us(m_confirmed_until_us.load(std::memory_order_relaxed));
    log(log_level::info, "target_unknown",
        {{"request", from.id},
         {"end", name_of(outcome.end)},
         {"reason", nlohmann::json(outcome.reason).get<std::string>()},
         {"revision", outcome.revision},
         {"confirmed_ms_ago", (m_clock.now() - time_point(at)).ms()},
         {"valid_ms", (until - at).ms()}});
}

void routing_frontend::schedule_timer()
{
    const time_point next = std::min(m_router.next_time(), m_admission.next_time());
    if (next >= m_timer_expiry && m_timer_expiry > m_clock.now())
    {
        // The timer expires earlier already, and is set again when it expires.
        return;
    }
    m_timer_expiry = next;
    if (next == time_point::never())
    {
        return;
    }
    m_timer.expires_after(std::chrono::microseconds((next - m_clock.now()).us()));
    m_timer.async_wait(
        [this, next](const boost::system::error_code& error)
        {
            if (!error && m_timer_expiry == next)
            {
                const time_point now = m_clock.now();
                m_router.observe_processing_delay(now - next, now);
                on_time();
            }
        });
}

void routing_frontend::on_time()
{
    m_timer_expiry = time_point::never();
    m_admission.on_time(m_clock.now());
    m_router.on_time(m_clock.now());
    execute_actions();
}

void routing_frontend::handle_due_timers()
{
    net::dispatch(m_strand,
                  [this]
                  {
                      on_time();
                  });
}

} // namespace flaxtiller::shell
