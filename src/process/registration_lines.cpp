#include "registration_lines.hpp"

#include "log.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <string_view>

namespace flaxtiller::shell
{

namespace
{

/// The number of names in one line. Each takes some twenty bytes.
constexpr std::size_t max_names = 256;

} // namespace

std::string name_of(registration_state state)
{
    return nlohmann::json(state).get<std::string>();
}

void log_refused_reports(const std::vector<refused_report>& refused, const std::string& from)
{
    for (const refused_report& item : refused)
    {
        log(log_level::info, "registration_refused",
            {{"backend_server", item.id.str()},
             {"state", name_of(item.known_state)},
             {"sequence", item.known_sequence},
             {"refused_state", name_of(item.refused_state)},
             {"refused_sequence", item.refused_sequence},
             {"from", from}});
    }
}

std::string unavailable_names(const std::vector<registration>& changes)
{
    std::vector<std::string_view> names;
    for (const registration& item : changes)
    {
        if (!item.is_available() && names.size() < max_names)
        {
            names.emplace_back(item.id.str());
        }
    }
    return fmt::format("{}", fmt::join(names, ","));
}

} // namespace flaxtiller::shell
