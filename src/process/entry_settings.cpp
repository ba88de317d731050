#include "settings_reading.hpp"

namespace flaxtiller::shell
{

using namespace detail;

namespace
{

constexpr int most_threads = 256;

void read_dispatch(json_reader& reader, dispatch::scheduler_options& into)
{
    reader.number("late_quantile", into.overdue_quantile, 0.5, 0.9999);
    reader.number("extra_load_share", into.extra_load_share, 0.0, 1.0);
    reader.number("budget_burst", into.budget_burst, 0.0, 100000.0);
    reader.number("most_attempts", into.most_attempts, 1, 16);
    read_ms(reader, "first_late_after_ms", into.initial_overdue_after, 1.0, hour_ms);
    read_ms(reader, "cancel_bound_ms", into.cancel_confirmation_timeout, 1.0, hour_ms);
    read_ms(reader, "failure_half_life_ms", into.failure_half_life, 0.0, hour_ms);
    reader.number("eject_after", into.eject_after, 1, 1000);
    read_ms(reader, "eject_first_ms", into.min_ejection, 1.0, hour_ms);
    read_ms(reader, "eject_most_ms", into.max_ejection, 1.0, hour_ms);
    if (into.min_ejection > into.max_ejection)
    {
        reader.found().error(errc::key_conflict, reader.at("eject_first_ms"),
                             "must not exceed eject_most_ms");
    }
}

/// Checks that a silent report can be noticed and the update fetched from elsewhere within the bound.
void check_report_interval(json_reader& reader, const entry_settings& settings)
{
    constexpr double reports_per_bound = 3.0;
    const duration apply = settings.bounds.apply;
    if (apply > duration{} && settings.report_every * reports_per_bound > apply)
    {
        reader.found().error(errc::key_conflict, reader.at("report_every_ms"),
                             "must not exceed a third of /bounds/apply_ms");
    }
}

void read_load(json_reader& reader, load_options& into)
{
    reader.flag("order_by_priority", into.orders_by_priority);
    reader.flag("read_server_load", into.reads_server_load);
    reader.flag("limit_admission", into.limits_admission);
    reader.flag("balance_owners", into.balances_owners);
    reader.flag("spread_returns", into.spreads_returns);
}

void read_routing(json_reader& reader, router_options& into)
{
    reader.number("objective_share", into.objective_share, 0.0, 1.0);
    read_ms(reader, "way_back_ms", into.response_margin, 0.0, hour_ms);
    reader.number("requests", into.max_open_requests, std::size_t{1}, std::size_t{1} << 30U);
    read_ms(reader, "least_retry_ms", into.min_retry_after, 0.0, hour_ms);
    read_ms(reader, "registration_retry_ms", into.registration_retry, 0.0, hour_ms);
    reader.number("retry_ratio", into.retry_ratio, 0.0, 10.0);
    reader.number("retry_slack", into.retry_slack, 0.0, 1e6);
    read_ms(reader, "retry_window_ms", into.retry_window, 1.0, hour_ms);
    reader.flag("refusals_cost", into.scheduling.charge_refusals);
    reader.number("warmup_overage", into.warmup_overage, 1.0, 100.0);
    reader.number("warmup_slack", into.warmup_slack, 0.0, 1e6);
    read_section(reader, "dispatch", false,
                 [&](json_reader& r)
                 {
                     read_dispatch(r, into.scheduling);
                 });
    read_section(reader, "load", false,
                 [&](json_reader& r)
                 {
                     read_load(r, into.load);
                 });
}

/// Where the platform kills a process this long after it told it to stop, the stop must take less: requests
/// are taken for two thirds of it, and what is in flight may end in nine tenths.
void read_kill_after(json_reader& reader, int& drain_bound_ms)
{
    constexpr double share = 0.65;
    double kill_after_ms = 0.0;
    reader.number("kill_after_ms", kill_after_ms, 0.0, static_cast<double>(hour_ms));
    if (kill_after_ms > 0.0)
    {
        drain_bound_ms = static_cast<int>(kill_after_ms * share);
    }
}

/// Either `control`, a list of names and addresses, or `seeds`, where the replicas' set forms itself.
void read_control_of(json_reader& reader, std::vector<named_address>& into)
{
    if (reader.has("membership"))
    {
        read_section(reader, "membership", false,
                     [&](json_reader& r)
                     {
                         read_seeds(r, into);
                     });
        return;
    }
    read_named_addresses(reader, "control", into);
}

} // namespace

entry_settings parse_entry_settings(const std::string& text, const std::string& file, findings& found)
{
    entry_settings settings;
    const nlohmann::json document = parse_json(text, file, found);
    if (found.has_errors())
    {
        return settings;
    }
    json_reader reader(document, "", found);
    read_section(reader, "instance", true,
                 [&](json_reader& r)
                 {
                     read_identity(r, settings.instance);
                 });
    read_section(reader, "listen", true,
                 [&](json_reader& r)
                 {
                     // One of the two ways to take requests must be given.
                     read_address(r, "callers", settings.callers, !r.has("routed"));
                     read_address(r, "link", settings.link, true);
                     read_address(r, "operators", settings.operators, true);
                     read_address(r, "routed", settings.routed, false);
                 });
    read_control_of(reader, settings.control);
    read_link_times(reader, settings.bounds, settings.links);
    read_zones(reader, settings.region_of_zone);
    read_ms(reader, "report_every_ms", settings.report_every, 1.0, hour_ms);
    check_report_interval(reader, settings);
    read_section(reader, "routing", false,
                 [&](json_reader& r)
                 {
                     read_routing(r, settings.routing);
                 });
    read_section(reader, "platform", false,
                 [&](json_reader& r)
                 {
                     read_address(r, "list_address", settings.platform_list, false);
                     r.number("poll_interval_ms", settings.platform_poll_interval_ms, 10, hour_ms);
                 });
    reader.number("threads", settings.threads, 1, most_threads);
    read_section(reader, "limits", false,
                 [&](json_reader& r)
                 {
                     r.number("request_bytes", settings.most_request_bytes, 1024, most_bytes);
                     read_process_limits(r, settings.process, settings.most_request_bytes);
                     r.number("request_timeout_ms", settings.request_timeout_ms, 10, hour_ms);
                     r.number("queries_per_service", settings.most_queries_per_service, 1, most_bytes);
                     r.number("services", settings.most_services, 1, most_bytes);
                     r.number("drain_bound_ms", settings.drain_bound_ms, 0, hour_ms);
                     r.number("least_drain_ms", settings.least_drain_ms, 0, hour_ms);
                     read_kill_after(r, settings.drain_bound_ms);
                 });
    read_section(reader, "dispatch", false,
                 [&](json_reader& r)
                 {
                     read_dispatch(r, settings.dispatch);
                 });
    read_section(reader, "log", false,
                 [&](json_reader& r)
                 {
                     read_log(r, settings.least_level);
                 });
    read_section(reader, "trace", false,
                 [&](json_reader& r)
                 {
                     r.text("file", settings.trace_file);
                 });
    reader.finish();
    check_distinct({{"/listen/callers", settings.callers},
                    {"/listen/link", settings.link},
                    {"/listen/operators", settings.operators}},
                   found);
    return settings;
}

} // namespace flaxtiller::shell
