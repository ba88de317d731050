#include "registration_distributor.hpp"

#include "process/log.hpp"
#include "process/registration_lines.hpp"
#include "process/system.hpp"

#include <utility>
#include <variant>

namespace flaxtiller::shell
{

namespace
{

/// The interval of the log lines that several changes share.
constexpr duration shared_line_interval = duration::from_ms(3000);

} // namespace

registration_distributor::registration_distributor(peer_links& links, std::string self,
                                                   const std::string& path,
                                                   registration_file::saved_function on_saved,
                                                   duration silence, digest_timing timing, time_point now)
    : m_links(links), m_file(path, std::move(on_saved)), m_confirmer(links, m_file, std::move(self)),
      m_registry(silence, now, timing),
      m_log_line_budget(max_log_lines_per_s, max_log_lines_per_s, max_log_lines_per_s, now)
{
}

void registration_distributor::load(time_point now)
{
    const std::size_t count = m_registry.load(m_file.load(unix_ms()), now);
    log(log_level::info, "deregistrations_restored", {{"items", count}});
}

void registration_distributor::on_heartbeat(const registration& received, time_point now)
{
    m_registry.on_heartbeat(received, now);
    log_refused(received.id.str(), now);
    publish(now);
}

void registration_distributor::on_leave(const backend_server_name& id, std::int64_t born_ms,
                                        const quorum::member_set& members,
                                        deregistration_confirmer::confirmation done, time_point now)
{
    m_registry.on_leave(id, born_ms, now);
    publish(now);
    m_confirmer.begin(*known().find(id), members, std::move(done), now);
}

void registration_distributor::on_saved(time_point now)
{
    m_confirmer.on_saved(now);
}

void registration_distributor::on_update(const std::string& from, const registration_update& update,
                                         time_point now)
{
    const replicated_registry::update_outcome outcome = m_registry.on_update(from, update, now);
    if (outcome.changed)
    {
        log(log_level::debug, "registrations_merged", {{"from", from}, {"items", update.items.size()}});
    }
    log_refused(from, now);
    publish(now);
    if (outcome.missed_by_sender > 0)
    {
        log(log_level::info, "missed_registrations_sent",
            {{"to", from}, {"items", outcome.missed_by_sender}});
    }
    if (update.confirm)
    {
        m_confirmer.on_request(from, *update.confirm, now);
    }
}

void registration_distributor::on_heartbeat_receipts(const std::string& from,
                                                     const registration_heard& receipts, time_point now)
{
    const std::size_t outdated_count = m_registry.on_heartbeat_receipts(from, receipts.items, now);
    if (outdated_count > 0)
    {
        log(log_level::info, "outdated_registrations", {{"known_by", from}, {"items", outdated_count}});
        publish(now);
    }
    m_confirmer.on_saved_elsewhere(from, receipts.saved, now);
}

void registration_distributor::on_digest(const std::string& from, const registration_digest& received,
                                         time_point now)
{
    if (m_registry.on_digest(from, received.digest, now))
    {
        log(log_level::info, "registrations_resent", {{"to", from}, {"items", known().size()}});
    }
}

void registration_distributor::on_reachable(const std::string& peer, bool is_replica, time_point now)
{
    m_registry.on_reachable(peer, is_replica, now);
    publish(now);
}

void registration_distributor::on_lost(const std::string& peer, time_point now)
{
    const std::size_t relayed_count = m_registry.on_lost(peer, now);
    if (relayed_count > 0)
    {
        log(log_level::info, "registrations_relayed", {{"lost", peer}, {"items", relayed_count}});
    }
    publish(now);
    m_confirmer.on_lost(peer, now);
}

void registration_distributor::publish(time_point now)
{
    const std::vector<registration> changes = m_registry.take_changes();
    if (!changes.empty())
    {
        m_file.append(changes, unix_ms());
        log_changes(changes, now);
    }
    for (const replicated_registry::outgoing& message : m_registry.take_messages())
    {
        std::visit(
            [&](const auto& content)
            {
                m_links.send(message.to, content);
            },
            message.content);
    }
}

void registration_distributor::log_changes(const std::vector<registration>& changes, time_point now)
{
    for (const registration& item : changes)
    {
        if (!m_log_line_budget.take(now))
        {
            ++m_unlogged_changes;
            continue;
        }
        log(log_level::info, "registration",
            {{"backend_server", item.id.str()},
             {"service", item.service.str()},
             {"address", item.address},
             {"state", name_of(item.state)},
             {"sequence", item.sequence},
             {"born_ms", item.born_ms},
             {"warmup_ms", item.warmup_left.ms()}});
    }
}

void registration_distributor::log_refused(const std::string& from, time_point now)
{
    std::vector<refused_report> refused = m_registry.take_refused();
    std::erase_if(refused,
                  [&](const refused_report&)
                  {
                      return !m_log_line_budget.take(now);
                  });
    log_refused_reports(refused, from);
}

void registration_distributor::set_replicas(std::set<std::string> others)
{
    m_registry.set_replicas(std::move(others));
}

void registration_distributor::tick(bool leads, time_point now)
{
    m_confirmer.tick(now);
    m_registry.tick(leads, now);
    if (const auto restored = m_registry.take_restored_count())
    {
        log(log_level::info, "registrations_restored", {{"items", *restored}});
    }
    publish(now);
    if (const std::vector<backend_server_name> forgotten = m_registry.take_forgotten(); !forgotten.empty())
    {
        m_file.forget(forgotten);
    }
    if (now < m_shared_line_at)
    {
        return;
    }
    m_shared_line_at = now + shared_line_interval;
    if (const std::size_t unlogged = std::exchange(m_unlogged_changes, 0); unlogged > 0)
    {
        log(log_level::info, "registrations",
            {{"items", unlogged}, {"known", known().size()}, {"refused", known().refused_count()}});
    }
}

} // namespace flaxtiller::shell
