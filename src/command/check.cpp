#include "commands.hpp"
#include "exit_status.hpp"

#include "process/settings.hpp"

#include <flaxtiller/catalog/configuration.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdio>

namespace flaxtiller::command
{

int run_check(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 2)
    {
        fmt::print(stderr, "check needs a kind (entry, control or configuration) and a file\n");
        return usage;
    }
    const std::string& kind = arguments[0];
    const std::string& file = arguments[1];
    findings found;
    const std::string text = shell::read_file(file, found);
    if (kind == "entry" && !found.has_errors())
    {
        (void)shell::parse_entry_settings(text, file, found);
    }
    else if (kind == "control" && !found.has_errors())
    {
        (void)shell::parse_control_settings(text, file, found);
    }
    else if (kind == "configuration" && !found.has_errors())
    {
        const auto document = shell::parse_json(text, file, found);
        if (!found.has_errors())
        {
            const configuration parsed = parse_configuration(document, found);
            found.append(validate(parsed));
            found.append(check_new(parsed));
        }
    }
    else if (!found.has_errors())
    {
        fmt::print(stderr, "unknown kind {}; expected entry, control or configuration\n", kind);
        return usage;
    }
    fmt::print("{}", found.to_text());
    fmt::print("{}: {} finding(s)\n", file, found.items().size());
    return found.has_errors() ? refused : success;
}

} // namespace flaxtiller::command
