#pragma once

#include "settings.hpp"

#include <flaxtiller/core/json_reader.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

/// Parts that the settings of several processes have in common. Every fault becomes a finding of the reader.
namespace flaxtiller::shell::detail
{

inline constexpr int most_bytes = 1 << 30;
inline constexpr int hour_ms = 3600000;

/// @brief Reads an object with a function of its own.
/// @param read receives the reader of the object; not called where there is none
template <typename Read>
void read_section(json_reader& reader, const char* key, bool required, Read read)
{
    if (required)
    {
        reader.require(key);
    }
    if (const nlohmann::json* section = reader.take(key))
    {
        json_reader inner(*section, reader.at(key), reader.found());
        read(inner);
        inner.finish();
    }
}

/// @brief Reads a number of milliseconds between @a low and @a high.
void read_ms(json_reader& reader, const char* key, duration& into, double low, double high);

/// @brief Reads an address, IP and port.
void read_address(json_reader& reader, const char* key, address& into, bool required);

/// @brief Reads a process's name, region and availability zone.
void read_identity(json_reader& reader, identity_settings& into);

/// @brief Reads a list of objects with a name and an address.
void read_named_addresses(json_reader& reader, const char* key, std::vector<named_address>& into);

/// @brief Reads the least level of the log.
void read_log(json_reader& reader, log_level& into);

/// @brief Reads what the process may use of its machine. A request that wouldn't fit is a finding.
/// @param request_bytes the maximum size of a request, read before
void read_process_limits(json_reader& reader, process_limits& into, int request_bytes);

/// @brief Reads the bounds of changes and the times of links, which follow from the bounds unless they are
/// given.
void read_link_times(json_reader& reader, distribution::change_bounds& bounds, link_timing& links);

/// @brief Reads addresses of which perhaps only the IP counts: `link_port` takes the place of their ports.
void read_seeds(json_reader& reader, std::vector<named_address>& into);

/// @brief Reads the regions of the availability zones.
void read_zones(json_reader& reader, std::map<std::string, std::string>& into);

/// @brief Reports each address that two listeners would share.
void check_distinct(const std::vector<std::pair<std::string, address>>& used, findings& found);

} // namespace flaxtiller::shell::detail
