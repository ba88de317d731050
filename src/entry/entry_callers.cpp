#include "entry_implementation.hpp"

#include "http/http_status.hpp"
#include "http/json_reply.hpp"

#include <flaxtiller/routing/absence_rule.hpp>

#include <boost/asio/post.hpp>

#include <mutex>

namespace flaxtiller::shell
{

namespace
{

/// If no leader has confirmed the configuration for longer than this, the configuration counts as stale: the
/// health check reports it to the load balancer, while queries are still answered, with the configuration's
/// age.
constexpr duration stale_threshold = duration::from_ms(3000);

int status_of(const query_answer& answer)
{
    switch (answer.refusal)
    {
    case errc::ok:
        break;
    case errc::unknown_service:
    case errc::unknown_shard:
        return http_not_found;
    case errc::key_reused:
        return http_conflict;
    case errc::key_expired:
        return http_gone;
    case errc::overloaded:
        return http_too_many;
    default:
        return http_unavailable;
    }
    if (answer.outcome == outcome::run)
    {
        return http_ok;
    }
    return answer.outcome == outcome::not_run ? http_unavailable : http_gateway_timeout;
}

/// @return whether the answer states that something isn't in the configuration
bool states_absence(const query_answer& answer)
{
    return answer.refusal == errc::unknown_service || answer.refusal == errc::unknown_shard;
}

} // namespace

void entry_process::implementation::on_caller(const http_request& request, http_server::respond respond)
{
    if (request.target == "/health")
    {
        respond(health());
        return;
    }
    if (request.target != "/query" || request.method != "POST")
    {
        respond(error_reply(http_not_found, errc::message_malformed, "only POST /query and GET /health"));
        return;
    }
    on_query(request, std::move(respond));
}

http_reply entry_process::implementation::health() const
{
    const std::int64_t at = confirmed_at_us.load(std::memory_order_relaxed);
    const char* state = "serving";
    if (draining)
    {
        state = "leaving";
    }
    else if (at == 0)
    {
        state = "starting";
    }
    else if (clock.now() - time_point(duration::from_us(at)) > stale_threshold)
    {
        state = "stale";
    }
    const bool serving = std::string_view(state) == "serving";
    return json_reply(serving ? http_ok : http_unavailable, {{"state", state}});
}

void entry_process::implementation::on_query(const http_request& request, http_server::respond respond)
{
    counted.add(metrics::counter::queries);
    findings found;
    std::error_code failed;
    const nlohmann::json document = parse_document(request.body, bounds.document, failed);
    if (failed)
    {
        found.error(static_cast<errc>(failed.value()), "", "the body must be JSON that describes a query");
    }
    query_request query = document.is_discarded() ? query_request{} : parse_query_request(document, found);
    if (found.has_errors())
    {
        counted.add(metrics::counter::malformed_requests);
        respond(json_reply(http_bad_request, {{"outcome", "not_run"}, {"findings", found}}));
        return;
    }
    if (confirmed_at_us.load(std::memory_order_acquire) == 0)
    {
        query_answer result;
        result.refusal = errc::not_ready;
        result.outcome = query.repeatable ? outcome::not_run : outcome::unknown;
        result.retry_after = duration::from_ms(200);
        answer(result, respond);
        return;
    }
    const auto snapshot = current_snapshot.load();
    const auto runner = snapshot->runners.find(query.service);
    if (runner == snapshot->runners.end())
    {
        query_answer result;
        result.refusal = errc::unknown_service;
        result.outcome = query.repeatable ? outcome::not_run : outcome::unknown;
        answer(result, respond);
        return;
    }
    runner->second->submit(std::move(query),
                           [this, respond = std::move(respond)](const query_answer& result)
                           {
                               answer(result, respond);
                           });
}

void entry_process::implementation::answer(const query_answer& result, const http_server::respond& respond)
{
    if (states_absence(result) && !is_confirmed())
    {
        counted.add(metrics::counter::refused_unconfirmed);
        query_answer refused = result;
        refused.refusal = errc::not_ready;
        refused.retry_after = absence_rule::retry_after;
        answer(refused, respond);
        return;
    }
    count(result);
    nlohmann::json body = result;
    const time_point confirmed(duration::from_us(confirmed_at_us.load(std::memory_order_relaxed)));
    body["configuration_age_ms"] = (clock.now() - confirmed).ms();
    http_reply reply = json_reply(status_of(result), body);
    if (result.retry_after > duration{})
    {
        const auto seconds = static_cast<std::int64_t>(result.retry_after.ms() / 1000.0) + 1;
        reply.headers.set("Retry-After", std::to_string(seconds));
    }
    respond(std::move(reply));
}

void entry_process::implementation::count(const query_answer& result)
{
    using counter = metrics::counter;
    counter which = counter::answers_unknown;
    if (result.refusal != errc::ok || result.outcome == outcome::not_run)
    {
        which = counter::answers_refused;
    }
    else if (result.outcome == outcome::run)
    {
        which = result.is_complete() ? counter::answers_whole : counter::answers_partial;
    }
    counted.add(which);
}

void entry_process::implementation::on_operator(const http_request& request, http_server::respond respond)
{
    if (request.target == "/health")
    {
        respond(health());
    }
    else if (request.target == "/metrics")
    {
        respond(json_reply(http_ok, counted.dump()));
    }
    else if (request.target == "/dump")
    {
        dump(std::move(respond));
    }
    else
    {
        respond(error_reply(http_not_found, errc::message_malformed, "only /health, /metrics and /dump"));
    }
}

void entry_process::implementation::dump(http_server::respond respond)
{
    struct dump_collection
    {
        std::mutex mutex;
        nlohmann::json services = nlohmann::json::object();
        std::size_t left = 0;
    };
    const auto snapshot = current_snapshot.load();
    auto all = std::make_shared<dump_collection>();
    all->left = snapshot->runners.size() + 1;
    const auto done = [this, all, respond]
    {
        const std::scoped_lock lock(all->mutex);
        if (--all->left > 0)
        {
            return;
        }
        net::post(strand,
                  [this, all, respond]
                  {
                      respond(json_reply(http_ok, assemble_dump(all->services)));
                  });
    };
    for (const auto& [name, runner] : snapshot->runners)
    {
        runner->dump(
            [all, done, name = name.str()](nlohmann::json state)
            {
                {
                    const std::scoped_lock lock(all->mutex);
                    all->services[name] = std::move(state);
                }
                done();
            });
    }
    done();
}

nlohmann::json entry_process::implementation::assemble_dump(const nlohmann::json& services)
{
    const auto age = subscriber.age(clock.now());
    nlohmann::json j = {{"process", "entry"},
                        {"instance", settings.instance.name},
                        {"region", settings.instance.region},
                        {"availability_zone", settings.instance.availability_zone},
                        {"run", run_id},
                        {"draining", draining.load()},
                        {"revision", subscriber.revision()},
                        {"evacuated_zones", subscriber.current()->evacuated_zones},
                        {"reachable_peers", reachable},
                        {"control_replicas", names_of(control.addresses())},
                        {"leader", leader},
                        {"leader_contact_lost", contact.is_lost(clock.now())},
                        {"leader_heard_ms_ago", contact.since_confirmation(clock.now()).ms()},
                        {"services", services},
                        {"registered_backend_servers", registered.present().size()},
                        {"metrics", counted.dump()}};
    if (age)
    {
        j["configuration_age_ms"] = age->ms();
        j["configuration_is_confirmed"] = is_confirmed();
        j["confirmation_valid_ms"] = validity.time(leader_report_interval).ms();
    }
    return j;
}

} // namespace flaxtiller::shell
