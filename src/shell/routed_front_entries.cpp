// What entries ask of one another.

#include "routed_front.hpp"

#include "log.hpp"

#include <boost/asio/dispatch.hpp>

#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;

void routed_front::on_ask(const std::string& from, const std::shared_ptr<const routed_ask>& asked)
{
    caller asker;
    asker.id = asked->request.id;
    asker.asked_by = from;
    asker.asked_number = asked->number;
    asker.respond = [this, from, number = asked->number](const routed_outcome& outcome)
    {
        m_send(from, routed_return{number, outcome});
    };
    if (!m_open.load(std::memory_order_acquire))
    {
        asker.respond(routed_outcome{});
        return;
    }
    net::dispatch(m_strand,
                  [this, number = m_next_request++, asker = std::move(asker),
                   request = std::shared_ptr<const routed_request>(asked, &asked->request)]
                  {
                      arrive(number, request, asker);
                  });
}

void routed_front::on_return(const std::string& from, const std::shared_ptr<const routed_return>& returned)
{
    net::dispatch(m_strand,
                  [this, from, returned]
                  {
                      m_router.entry_answered(instance_name(from), returned->number, returned->outcome,
                                              m_clock.now());
                      carry_out();
                  });
}

void routed_front::on_abandon(const std::string& from, const routed_abandon& abandoned)
{
    net::dispatch(m_strand,
                  [this, from, abandoned]
                  {
                      const auto found = m_asked.find({from, abandoned.number});
                      if (found == m_asked.end())
                      {
                          return;
                      }
                      abandoned.stops ? on_gone(found->second) : on_no_longer_awaited(found->second);
                  });
}

void routed_front::on_no_longer_awaited(request_number number)
{
    const auto found = m_callers.find(number);
    log(log_level::info, "no_longer_awaited",
        {{"request", found->second.id},
         {"asked_by", found->second.asked_by},
         {"after_ms", (m_clock.now() - found->second.arrived).ms()}});
    m_asked.erase({found->second.asked_by, found->second.asked_number});
    m_callers.erase(found);
    m_router.no_longer_awaited(number);
    carry_out();
}

void routed_front::on_limit_word(const std::string& from, const std::shared_ptr<const limit_update>& word)
{
    net::dispatch(
        m_strand,
        [this, from, word]
        {
            if (from != m_limit_keeper)
            {
                // A replica that was frozen may not know yet that another one leads.
                log(log_level::info, "limit_word_ignored", {{"from", from}, {"keeper", m_limit_keeper}});
                return;
            }
            m_admission.on_limit_word(*word, m_clock.now());
            carry_out();
        });
}

void routed_front::on_crash_news(const std::string& from, const std::shared_ptr<const crash_news>& news)
{
    net::dispatch(m_strand,
                  [this, from, news]
                  {
                      log(log_level::debug, "crash_news", {{"from", from}, {"items", news->items.size()}});
                      m_router.on_crash_records(news->items, m_clock.now());
                      carry_out();
                  });
}

void routed_front::tell_all_crashes()
{
    net::dispatch(m_strand,
                  [this]
                  {
                      crash_news known{m_router.crashes().all(1, m_clock.now())};
                      if (!known.items.empty())
                      {
                          m_crashes(known);
                      }
                  });
}

void routed_front::set_limit_keeper(std::string name, bool heard)
{
    net::dispatch(
        m_strand,
        [this, heard, name = std::move(name)]
        {
            if (name != m_limit_keeper)
            {
                log(log_level::info, "limit_keeper", {{"replica", name}, {"before", m_limit_keeper}});
                m_limit_keeper = name;
            }
            if (heard)
            {
                m_admission.on_coordinator_contact(m_clock.now());
            }
        });
}

void routed_front::on_entry_lost(const std::string& name)
{
    net::dispatch(m_strand,
                  [this, name]
                  {
                      m_router.entry_lost(instance_name(name), m_clock.now());
                      carry_out();
                  });
}

void routed_front::carry(const ask_entry& action)
{
    if (action.again)
    {
        log(log_level::info, "group_asked_again",
            {{"request", action.sent->id},
             {"entry", action.peer.str()},
             {"shards", action.shards.size()},
             {"first", action.shards.front()}});
    }
    routed_ask asked{action.number, *action.sent};
    asked.request.patience = action.patience;
    asked.request.asked_list = action.list;
    asked.request.asked_shards = action.shards;
    asked.request.designated = action.designated;
    asked.request.answer_within = action.answer_within;
    asked.request.progress_within = action.progress_within;
    asked.request.asked_again = action.again;
    asked.request.asked_regions = action.regions;
    m_send(action.peer.str(), asked);
}

void routed_front::carry(const abandon_at_entry& action)
{
    m_send(action.peer.str(), routed_abandon{action.number, action.stops});
}

} // namespace flaxtiller::shell
