// The part of routing_frontend that exchanges messages with other entries and with control replicas.

#include "routing_frontend.hpp"

#include "process/log.hpp"

#include <flaxtiller/routing/delegated_request.hpp>

#include <boost/asio/dispatch.hpp>

#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;

void routing_frontend::on_delegation(const std::string& from,
                                     const std::shared_ptr<const routed_ask>& delegated)
{
    caller requester;
    requester.id = delegated->request.id;
    requester.delegated_by = from;
    requester.delegation = delegated->number;
    requester.respond = [this, from, number = delegated->number](const routed_outcome& outcome)
    {
        m_send(from, routed_return{number, outcome});
    };
    requester.memory = std::make_shared<message_memory::share>(message_memory::of_requests());
    const bool fits = requester.memory->resize(delegated->request.body.capacity());
    if (!fits || !m_open.load(std::memory_order_acquire))
    {
        if (!fits)
        {
            log(log_level::info, "delegation_refused",
                {{"request", requester.id}, {"from", from}, {"reason", "memory for requests"}});
        }
        requester.respond(routed_outcome{});
        return;
    }
    net::dispatch(m_strand,
                  [this, number = m_next_request++, requester = std::move(requester),
                   request = std::shared_ptr<const routed_request>(delegated, &delegated->request)]
                  {
                      arrive(number, request, requester);
                  });
}

void routing_frontend::on_delegation_outcome(const std::string& from,
                                             const std::shared_ptr<const routed_return>& returned)
{
    net::dispatch(m_strand,
                  [this, from, returned]
                  {
                      m_router.on_delegation_outcome(instance_name(from), returned->number, returned->outcome,
                                                     m_clock.now());
                      execute_actions();
                  });
}

void routing_frontend::on_delegation_abandoned(const std::string& from, const routed_abandon& abandoned)
{
    net::dispatch(m_strand,
                  [this, from, abandoned]
                  {
                      const auto found = m_delegations.find({from, abandoned.number});
                      if (found == m_delegations.end())
                      {
                          return;
                      }
                      abandoned.stops ? on_caller_gone(found->second) : on_no_longer_awaited(found->second);
                  });
}

void routing_frontend::on_no_longer_awaited(request_number number)
{
    const auto found = m_callers.find(number);
    log(log_level::info, "no_longer_awaited",
        {{"request", found->second.id},
         {"asked_by", found->second.delegated_by},
         {"after_ms", (m_clock.now() - found->second.arrived).ms()}});
    m_delegations.erase({found->second.delegated_by, found->second.delegation});
    m_callers.erase(found);
    m_router.no_longer_awaited(number);
    execute_actions();
}

void routing_frontend::on_limit_update(const std::string& from,
                                       const std::shared_ptr<const limit_update>& limit_message)
{
    net::dispatch(m_strand,
                  [this, from, limit_message]
                  {
                      if (from != m_rate_limit_coordinator)
                      {
                          // A witness, a former coordinator that was suspended, or a new one that this entry
                          // doesn't know yet.
                          log(log_level::debug, "limit_word_ignored",
                              {{"from", from}, {"keeper", m_rate_limit_coordinator}});
                          m_admission.on_other_limit_update(*limit_message, m_clock.now());
                          return;
                      }
                      m_admission.on_limit_update(*limit_message, m_clock.now());
                      execute_actions();
                  });
}

void routing_frontend::on_crash_update(const std::string& from,
                                       const std::shared_ptr<const crash_news>& crash_update)
{
    net::dispatch(m_strand,
                  [this, from, crash_update]
                  {
                      for (const crash_record& changed :
                           m_router.on_crash_records(crash_update->items, m_clock.now()))
                      {
                          log(log_level::info, "crash_record",
                              {{"fingerprint", changed.request.str()},
                               {"from", from},
                               {"crashes", changed.crashes.size()},
                               {"proved", prove_cause(changed.crashes)},
                               {"cleared", changed.cleared},
                               {"last_ms_ago", changed.age.ms()}});
                      }
                      execute_actions();
                  });
}

void routing_frontend::report_all_crash_records()
{
    net::dispatch(m_strand,
                  [this]
                  {
                      report_crash_records(m_router.crashes().all(1, m_clock.now()));
                  });
}

void routing_frontend::report_recent_crash_records()
{
    net::dispatch(m_strand,
                  [this]
                  {
                      report_crash_records(m_router.crashes().recent(m_clock.now()));
                  });
}

void routing_frontend::report_crash_records(std::vector<crash_record> records) const
{
    if (!records.empty())
    {
        m_report_crash_records(crash_news{std::move(records)});
    }
}

void routing_frontend::set_rate_limit_coordinator(std::string name, bool contacted_now, bool was_witness)
{
    net::dispatch(
        m_strand,
        [this, contacted_now, was_witness, name = std::move(name)]
        {
            if (name != m_rate_limit_coordinator)
            {
                log(log_level::info, "limit_keeper",
                    {{"replica", name}, {"before", m_rate_limit_coordinator}, {"was_witness", was_witness}});
                m_rate_limit_coordinator = name;
                m_admission.on_coordinator_changed(was_witness, m_clock.now());
            }
            if (contacted_now)
            {
                m_admission.on_coordinator_contact(m_clock.now());
            }
            execute_actions();
        });
}

void routing_frontend::on_entry_unreachable(const std::string& name)
{
    net::dispatch(m_strand,
                  [this, name]
                  {
                      m_router.on_entry_disconnected(instance_name(name), m_clock.now());
                      execute_actions();
                  });
}

void routing_frontend::execute(const delegate_shards& action)
{
    if (action.again)
    {
        log(log_level::info, "group_asked_again",
            {{"request", action.sent->id},
             {"entry", action.peer.str()},
             {"shards", action.shards.size()},
             {"first", action.shards.front()}});
    }
    if (action.shift)
    {
        m_metrics.add(metrics::counter::groups_to_second_owner);
        log(log_level::debug, "group_to_second_owner",
            {{"request", action.sent->id},
             {"entry", action.peer.str()},
             {"delay_ms", action.shift->second_delay.ms()},
             {"first_owner", action.shift->first.str()},
             {"first_delay_ms", action.shift->first_delay.ms()},
             {"share", action.shift->second_share},
             {"first", action.shards.front()}});
    }
    m_send(action.peer.str(), routed_ask{action.number, delegated_request(action)});
}

void routing_frontend::execute(const abandon_delegation& action)
{
    m_send(action.peer.str(), routed_abandon{action.number, action.stops});
}

} // namespace flaxtiller::shell
