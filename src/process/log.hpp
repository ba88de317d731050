#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace flaxtiller::shell
{

/// @brief How much an event matters.
enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// @brief One `key=value` of a log line.
struct log_field
{
    std::string_view key;
    std::string value;

    template <typename Value>
    log_field(std::string_view k, const Value& v) : key(k), value(fmt::format("{}", v))
    {
    }
};

/// @brief Sets what every line of this process begins with and the least level that is written.
void configure_log(std::string process, log_level least);

/// @return the level of this name, or `info` where there is none
log_level parse_log_level(std::string_view name);

/// @brief Writes one line to standard output: `time level process event key=value ...`. Thread-safe.
///
/// Never waits for the reader: lines queue in memory, and those beyond its bound are dropped and counted.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// @brief Waits until all lines are written; for the end of a process.
void flush_log();

/// @return lines that were dropped because nobody read the earlier ones in time
std::uint64_t log_lines_dropped();

} // namespace flaxtiller::shell
