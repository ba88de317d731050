#include <flaxtiller/coordinator/replay.hpp>

#include <flaxtiller/coordinator/event_codec.hpp>
#include <flaxtiller/coordinator/service_coordinator.hpp>

#include <map>
#include <string>

namespace flaxtiller
{

namespace
{

/// The coordinator of a service, with its answers that the trace has not confirmed yet.
struct replayed_service
{
    service_coordinator coordinator;
    std::map<query_id, query_answer> answers;
};

/// Replays a trace line by line.
class replayer
{
  public:
    void feed_line(const std::string& text, const std::string& location)
    {
        try
        {
            feed_record(nlohmann::json::parse(text), location);
        }
        catch (const nlohmann::json::exception& malformed)
        {
            m_report.found.error(errc::document_malformed, location, malformed.what());
        }
    }

    replay_report report() &&
    {
        return std::move(m_report);
    }

  private:
    void feed_record(const nlohmann::json& record, const std::string& location)
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
            handle_event(replayed, event_from_json(record.at("event")), now);
            return;
        }
        compare(replayed, record.at("answer"), location);
    }

    static void handle_event(replayed_service& replayed, const coordinator_event& event, time_point now)
    {
        replayed.coordinator.handle(event, now);
        for (const coordinator_action& action : replayed.coordinator.take_actions())
        {
            if (const auto* answered = std::get_if<answer_caller>(&action))
            {
                replayed.answers.insert_or_assign(answered->query, answered->answer);
            }
        }
    }

    void compare(replayed_service& replayed, const nlohmann::json& expected, const std::string& location)
    {
        ++m_report.expected_answers;
        const auto found = replayed.answers.find(expected.at("query").get<query_id>());
        if (found == replayed.answers.end())
        {
            m_report.found.error(errc::document_malformed, location,
                                 "the replay gave no answer to this query");
            return;
        }
        const nlohmann::json actual = found->second;
        if (actual != expected.at("told"))
        {
            m_report.found.error(errc::document_malformed, location,
                                 "expected " + expected.at("told").dump() + " but got " + actual.dump());
            return;
        }
        ++m_report.matching_answers;
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
            run.feed_line(text, "line " + std::to_string(number));
        }
    }
    return std::move(run).report();
}

} // namespace flaxtiller
