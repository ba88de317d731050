#include "trace_writer.hpp"

#include "http/json_reply.hpp"

#include <flaxtiller/coordinator/event_codec.hpp>

namespace flaxtiller::shell
{

trace_writer::trace_writer(const std::string& path)
{
    if (!path.empty())
    {
        m_file.open(path, std::ios::app);
    }
}

bool trace_writer::is_open() const noexcept
{
    return m_file.is_open();
}

void trace_writer::line(const std::string& text)
{
    const std::scoped_lock lock(m_mutex);
    m_file << text << '\n' << std::flush;
}

void trace_writer::begin(const service_name& service, const instance_name& self, std::uint64_t first_serial)
{
    if (is_open())
    {
        const nlohmann::json record = {{"begin", {{"instance", self}, {"first_serial", first_serial}}},
                                       {"service", service}};
        line(to_text(record));
    }
}

void trace_writer::event(const service_name& service, const coordinator_event& happened, time_point now)
{
    if (is_open())
    {
        const nlohmann::json record = {
            {"t_us", now.since_start().us()}, {"service", service}, {"event", event_to_json(happened)}};
        line(to_text(record));
    }
}

void trace_writer::answer(const service_name& service, const answer_caller& told, time_point now)
{
    if (is_open())
    {
        const nlohmann::json record = {{"t_us", now.since_start().us()},
                                       {"service", service},
                                       {"answer", {{"query", told.query}, {"told", told.answer}}}};
        line(to_text(record));
    }
}

} // namespace flaxtiller::shell
