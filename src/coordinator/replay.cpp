#include <flaxtiller/coordinator/replay.hpp>

#include <flaxtiller/coordinator/event_codec.hpp>
#include <flaxtiller/coordinator/service_coordinator.hpp>

#include <map>
#include <string>

namespace flaxtiller
{

namespace
{

/// One service's decisions and the answers that came out and aren't stated yet.
struct replayed_service
{
    service_coordinator coordinator;
    std::map<query_id, query_answer> answers;
};

class replayer
{
  public:
    void line(const std::string& text, const std::string& place)
    {
        try
        {
            read(nlohmann::json::parse(text), place);
        }
        catch (const nlohmann::json::exception& malformed)
        {
            m_report.found.error(errc::document_malformed, place, malformed.what());
        }
    }

    replay_report report() &&
    {
        return std::move(m_report);
    }

  private:
    void read(const nlohmann::json& record, const std::string& place)
    {
        const auto service = record.at("service").get<service_name>();
        if (record.contains("begin"))
        {
            const auto& begin = record.at("begin");
            service_coordinator coordinator(begin.at("instance").get<instance_name>(), service, {},
                                            begin.at("first_serial"));
            m_services.erase(service);
            m_services.emplace(service, replayed_service{std::move(coordinator), {}});
            return;
        }
        replayed_service& replayed = m_services.at(service);
        const time_point now(duration::from_us(record.at("t_us").get<std::int64_t>()));
        if (record.contains("event"))
        {
            ++m_report.events;
            feed(replayed, event_from_json(record.at("event")), now);
            return;
        }
        compare(replayed, record.at("answer"), place);
    }

    static void feed(replayed_service& replayed, const coordinator_event& event, time_point now)
    {
        replayed.coordinator.handle(event, now);
        for (const coordinator_action& action : replayed.coordinator.take_actions())
        {
            if (const auto* told = std::get_if<answer_caller>(&action))
            {
                replayed.answers.insert_or_assign(told->query, told->answer);
            }
        }
    }

    void compare(replayed_service& replayed, const nlohmann::json& stated, const std::string& place)
    {
        ++m_report.stated;
        const auto found = replayed.answers.find(stated.at("query").get<query_id>());
        if (found == replayed.answers.end())
        {
            m_report.found.error(errc::document_malformed, place, "the decisions gave no such answer");
            return;
        }
        const nlohmann::json came_out = found->second;
        if (came_out != stated.at("told"))
        {
            m_report.found.error(errc::document_malformed, place,
                                 "stated " + stated.at("told").dump() + " but came out " + came_out.dump());
            return;
        }
        ++m_report.matching;
        replayed.answers.erase(found);
    }

    std::map<service_name, replayed_service> m_services;
    replay_report m_report;
};

} // namespace

replay_report replay(std::istream& trace)
{
    replayer run;
    std::size_t number = 0;
    for (std::string text; std::getline(trace, text);)
    {
        ++number;
        if (!text.empty())
        {
            run.line(text, "line " + std::to_string(number));
        }
    }
    return std::move(run).report();
}

} // namespace flaxtiller
