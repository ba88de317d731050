#include "control_implementation.hpp"

#include "process/run_guarded.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace flaxtiller::shell
{

http_server::limits control_process::implementation::http_limits_of(const control_settings& settings,
                                                                    std::size_t connections)
{
    http_server::limits limits;
    limits.most_body_bytes = static_cast<std::size_t>(settings.most_request_bytes);
    limits.request_timeout_ms = settings.request_timeout_ms;
    limits.most_connections = connections;
    return limits;
}

control_process::control_process(control_settings settings, settings_source source)
    : m_implementation(std::make_unique<implementation>(std::move(settings), std::move(source)))
{
}

control_process::~control_process() = default;

findings control_process::open()
{
    implementation& self = *m_implementation;
    findings errors;
    self.open_machine(self.catalog, catalog_log, errors);
    self.open_machine(self.registers, register_log, errors);
    self.load_deployment();
    self.set_deployment(deployment_id::of_secret(self.catalog.state().current().key_secret));
    self.registrations.load(self.clock.now());
    self.crash_records.load(self.clock.now());
    return errors;
}

findings control_process::bootstrap_logs()
{
    implementation& self = *m_implementation;
    findings errors;
    const time_point now = self.clock.now();
    const std::error_code failed =
        self.catalog.found(now) ? make_error_code(errc::storage_foreign) : self.registers.found(now);
    if (failed)
    {
        errors.error(static_cast<errc>(failed.value()), "/data_folder",
                     "must be empty; a new log is created once, on one replica");
    }
    return errors;
}

int control_process::run()
{
    implementation& self = *m_implementation;
    findings errors;
    if (self.operators.listen(self.settings.operators))
    {
        errors.error(errc::address_in_use, "/listen/operators", self.settings.operators.str());
    }
    std::string reason;
    if (!self.links.listen(self.settings.link, reason))
    {
        errors.error(errc::address_in_use, "/listen/link", self.settings.link.str() + ": " + reason);
    }
    if (errors.has_errors())
    {
        fmt::print(stderr, "{}", errors.to_text());
        return 1;
    }
    self.links.set_peers(self.settings.replicas);
    self.links.start();
    self.on_signal();
    log(log_level::info, "started",
        {{"operators", self.settings.operators.str()}, {"revision", self.catalog.state().revision()}});
    net::post(self.strand,
              [&self]
              {
                  self.tick();
              });
    run_guarded(self.io);
    flush_log();
    return 0;
}

findings control_process::serve(const address& at, gateway_handler handler)
{
    implementation& self = *m_implementation;
    findings errors;
    self.gateway = std::make_unique<http_server>(
        self.io, implementation::http_limits_of(self.settings, self.bounds.caller_connections),
        [this, &self, handler = std::move(handler)](const http_request& request, http_server::respond respond)
        {
            net::post(self.strand,
                      [this, handler, request, respond]
                      {
                          handler(*this, request, respond);
                      });
        });
    if (self.gateway->listen(at))
    {
        errors.error(errc::address_in_use, "/listen", at.str());
    }
    return errors;
}

void control_process::submit(change requested,
                             std::function<void(std::error_code, const change_result&)> done)
{
    m_implementation->submit(std::move(requested), std::move(done));
}

bool control_process::has_made(const change_id& id) const
{
    const implementation& self = *m_implementation;
    const std::map<std::int64_t, change_id> kept = self.catalog.state().history();
    return self.catalog.is_authoritative(self.clock.now()) && std::any_of(kept.begin(), kept.end(),
                                                                          [&](const auto& item)
                                                                          {
                                                                              return item.second == id;
                                                                          });
}

std::int64_t control_process::revision() const
{
    return m_implementation->catalog.state().revision();
}

document_bounds control_process::configuration_bounds() const
{
    return m_implementation->configuration_bounds();
}

const configuration* control_process::current() const
{
    const implementation& self = *m_implementation;
    return self.catalog.is_authoritative(self.clock.now()) ? &self.catalog.state().current() : nullptr;
}

bool control_process::leads() const
{
    const quorum::replica* node = m_implementation->catalog.node();
    return node != nullptr && node->role() == quorum::role::leader;
}

std::string control_process::leader() const
{
    const quorum::replica* node = m_implementation->catalog.node();
    return node == nullptr ? std::string() : node->leader().str();
}

bool control_process::knows_zone(const std::string& zone) const
{
    return m_implementation->knows_zone(zone);
}

bool control_process::heartbeat(const registration& report)
{
    implementation& self = *m_implementation;
    const time_point now = self.clock.now();
    if (!self.heartbeats.accepts(now))
    {
        return false;
    }
    self.registrations.on_heartbeat(report, now);
    return true;
}

void control_process::deregister(const backend_server_name& id, std::int64_t born_ms,
                                 std::function<void(bool)> done)
{
    implementation& self = *m_implementation;
    const quorum::replica* node = self.catalog.node();
    self.registrations.on_leave(id, born_ms, node == nullptr ? quorum::member_set{} : node->members(),
                                std::move(done), self.clock.now());
}

} // namespace flaxtiller::shell
