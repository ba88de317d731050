#include <flaxtiller/dispatch/load_report.hpp>

#include <array>
#include <charconv>
#include <cstddef>

namespace flaxtiller::dispatch
{

namespace
{

constexpr std::size_t min_figures = 3;
constexpr std::size_t max_figures = 4;
constexpr double percent = 100.0;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::optional<int> parse_count(std::string_view text)
{
    const std::string_view digits = trimmed(text);
    int count = 0;
    const char* const end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, count);
    const bool whole = read.ec == std::errc{} && read.ptr == end;
    if (!whole || count < 0 || count > load_report::max_count)
    {
        return std::nullopt;
    }
    return count;
}

} // namespace

std::optional<load_report> parse_load_report(std::string_view text)
{
    std::array<int, max_figures> figures{};
    std::size_t count = 0;
    for (bool is_last = false; !is_last; ++count)
    {
        const std::size_t comma = text.find(',');
        is_last = comma == std::string_view::npos;
        const auto figure = parse_count(text.substr(0, comma));
        if (count == max_figures || !figure)
        {
            return std::nullopt;
        }
        figures.at(count) = *figure;
        text.remove_prefix(is_last ? text.size() : comma + 1);
    }
    const auto [running, waiting, slots, slowdown] = figures;
    const bool states_slowdown = count == max_figures;
    if (count < min_figures || slots == 0 || (states_slowdown && slowdown == 0))
    {
        return std::nullopt;
    }
    return load_report{running, waiting, slots, states_slowdown ? slowdown / percent : 1.0};
}

} // namespace flaxtiller::dispatch
