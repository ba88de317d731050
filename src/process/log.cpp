#include "log.hpp"

#include "log_writer.hpp"

#include <fmt/chrono.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>

namespace flaxtiller::shell
{

namespace
{

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

std::string process_name = "flaxtiller";
std::atomic<log_level> least_level{log_level::info};

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void append_quoted(std::string& line, std::string_view value)
{
    line += '"';
    for (const char c : value)
    {
        if (c == '\n')
        {
            line += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
        {
            line += '\\';
        }
        line += c;
    }
    line += '"';
}

} // namespace

void configure_log(std::string process, log_level least)
{
    process_name = std::move(process);
    least_level = least;
}

log_level parse_log_level(std::string_view name)
{
    for (std::size_t i = 0; i < level_names.size(); ++i)
    {
        if (level_names[i] == name)
        {
            return static_cast<log_level>(i);
        }
    }
    return log_level::info;
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < least_level.load(std::memory_order_relaxed))
    {
        return;
    }
    const auto now = std::chrono::system_clock::now();
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms,
                                   level_names[static_cast<std::size_t>(level)], process_name, event);
    for (const log_field& field : fields)
    {
        line += ' ';
        line += field.key;
        line += '=';
        if (needs_quotes(field.value))
        {
            append_quoted(line, field.value);
        }
        else
        {
            line += field.value;
        }
    }
    line += '\n';
    log_writer::instance().write(std::move(line));
}

void flush_log()
{
    log_writer::instance().flush();
}

std::uint64_t log_lines_dropped()
{
    return log_writer::instance().dropped();
}

} // namespace flaxtiller::shell
