#include "control_implementation.hpp"

#include "http/http_status.hpp"
#include "http/json_reply.hpp"

#include <flaxtiller/catalog/diff.hpp>
#include <flaxtiller/catalog/placement.hpp>

#include <algorithm>

namespace flaxtiller::shell
{

document_bounds control_process::implementation::configuration_bounds() const
{
    process_limits smallest = settings.process;
    for (const std::string& name : links.reachable())
    {
        const auto peer = links.identity(name);
        if (peer && peer->memory_mb > 0)
        {
            smallest.memory_mb = std::min(smallest.memory_mb, peer->memory_mb);
        }
    }
    return bounds_of(smallest).configuration;
}

std::optional<change> control_process::implementation::read_change(const http_request& request,
                                                                   http_reply& refusal) const
{
    std::error_code failed;
    const nlohmann::json j = parse_document(request.body, configuration_bounds(), failed);
    if (failed)
    {
        refusal = error_reply(failed == errc::document_too_large ? http_too_large : http_bad_request,
                              static_cast<errc>(failed.value()));
        return std::nullopt;
    }
    try
    {
        change requested = j.get<change>();
        if (requested.id.empty())
        {
            refusal = error_reply(http_bad_request, errc::missing_key, "/id must not be empty");
            return std::nullopt;
        }
        return requested;
    }
    catch (const nlohmann::json::exception& malformed)
    {
        refusal = error_reply(http_bad_request, errc::document_malformed, malformed.what());
        return std::nullopt;
    }
}

bool control_process::implementation::knows_zone(const std::string& zone) const
{
    const auto& known = settings.region_of_zone;
    return !zone.empty() && (known.empty() || known.count(zone) > 0);
}

findings control_process::implementation::check_availability_zone(const change& requested) const
{
    findings errors;
    if (requested.kind != change_kind::evacuate || !requested.body.is_object())
    {
        return errors;
    }
    const auto zone = requested.body.find("availability_zone");
    const bool names = zone != requested.body.end() && zone->is_string();
    if (names && !knows_zone(*zone))
    {
        errors.error(errc::unknown_name, "/body/availability_zone",
                     "no availability zone of this name is in the settings");
    }
    return errors;
}

int control_process::implementation::status_of(const change_result& result)
{
    switch (result.status)
    {
    case change_status::accepted:
    case change_status::superseded:
        return http_ok;
    case change_status::conflict:
        return http_conflict;
    case change_status::invalid:
        break;
    }
    return http_bad_request;
}

void control_process::implementation::on_change(const http_request& request,
                                                const http_server::respond& respond)
{
    http_reply refusal;
    auto requested = read_change(request, refusal);
    if (!requested)
    {
        respond(refusal);
        return;
    }
    const findings errors = check_availability_zone(*requested);
    if (errors.has_errors())
    {
        respond(json_reply(http_bad_request, change_result{change_status::invalid, 0, {}, errors}));
        return;
    }
    submit(std::move(*requested),
           [this, respond](std::error_code failed, const change_result& outcome)
           {
               if (failed == make_error_code(errc::not_leader))
               {
                   respond(not_leader());
               }
               else if (failed)
               {
                   respond(error_reply(http_unavailable, errc::not_committed));
               }
               else
               {
                   respond(json_reply(status_of(outcome), outcome));
               }
           });
}

void control_process::implementation::submit(change requested,
                                             std::function<void(std::error_code, const change_result&)> done)
{
    if (catalog.state().is_superseded(requested) && catalog.is_authoritative(clock.now()))
    {
        // A later version is committed on a majority, so that this version was decided on before.
        log(log_level::info, "change",
            {{"id", requested.id.str()},
             {"version", requested.version},
             {"status", "superseded"},
             {"held", catalog.state().current().version},
             {"revision", catalog.state().revision()}});
        done({}, {change_status::superseded, catalog.state().revision(), {}, {}});
        return;
    }
    const findings errors = leads(catalog) ? catalog.state().check(requested) : findings{};
    if (errors.has_errors())
    {
        refuse(requested, errors, done);
        return;
    }
    if (catalog.state().current().key_secret.empty())
    {
        add_key_secret(requested);
    }
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(requested), bytes);
    catalog.propose(
        std::move(bytes),
        [id = requested.id, version = requested.version, done = std::move(done)](std::error_code failed,
                                                                                 const std::string& result)
        {
            change_result outcome;
            if (!failed)
            {
                outcome = nlohmann::json::from_cbor(result).get<change_result>();
            }
            log(log_level::info, "change",
                {{"id", id.str()},
                 {"version", version},
                 {"status", failed ? failed.message() : nlohmann::json(outcome.status).get<std::string>()},
                 {"revision", outcome.revision}});
            done(failed, outcome);
        },
        clock.now());
    schedule_pump();
}

/// Refuses a change before it is proposed, because every replica would refuse its log entry again at each
/// start. A leader without the lease may lack committed entries, among them the one of this very change. It
/// therefore answers that the outcome isn't known.
void control_process::implementation::refuse(
    const change& requested, const findings& errors,
    const std::function<void(std::error_code, const change_result&)>& done)
{
    const std::int64_t revision = catalog.state().revision();
    if (!catalog.is_authoritative(clock.now()))
    {
        done(errc::not_committed, {});
        return;
    }
    log(log_level::info, "change",
        {{"id", requested.id.str()},
         {"version", requested.version},
         {"status", "invalid"},
         {"revision", revision}});
    done({}, {change_status::invalid, revision, {}, errors});
}

void control_process::implementation::on_preview(const http_request& request,
                                                 const http_server::respond& respond)
{
    http_reply refusal;
    const auto requested = read_change(request, refusal);
    if (!requested)
    {
        respond(refusal);
        return;
    }
    if (!catalog.is_authoritative(clock.now()))
    {
        respond(not_leader());
        return;
    }
    catalog_state preview_state = catalog.state();
    const findings errors = preview_state.check(*requested);
    const change_result outcome =
        errors.has_errors() ? change_result{change_status::invalid, preview_state.revision(), {}, errors}
                            : preview_state.apply(*requested);
    nlohmann::json body = outcome;
    body["difference"] = diff(catalog.state().current(), preview_state.current());
    body["moved_shards"] = moved_shards(catalog.state().current(), preview_state.current());
    respond(json_reply(status_of(outcome), body));
}

nlohmann::json control_process::implementation::moved_shards(const configuration& before,
                                                             const configuration& after)
{
    nlohmann::json moved_list = nlohmann::json::array();
    const placement old_placement = place(0, before);
    const placement new_placement = place(0, after);
    for (const auto& [name, service] : new_placement.services)
    {
        const auto known = old_placement.services.find(name);
        for (std::size_t shard = 0; shard < service->shards.size(); ++shard)
        {
            const bool same = known != old_placement.services.end() && shard < known->second->shards.size() &&
                              known->second->shards[shard] == service->shards[shard];
            if (!same)
            {
                moved_list.push_back({{"service", name}, {"shard", shard}});
            }
        }
    }
    return moved_list;
}

} // namespace flaxtiller::shell
