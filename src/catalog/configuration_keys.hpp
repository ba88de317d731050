#pragma once

namespace flaxtiller::detail
{

// The keys of a configuration document and of the parts of a patch.
inline constexpr const char* services_key = "services";
inline constexpr const char* backend_servers_key = "backend_servers";
inline constexpr const char* placement_rules_key = "placement_rules";
inline constexpr const char* instances_key = "instances";
inline constexpr const char* routes_key = "routes";
inline constexpr const char* teams_key = "teams";
inline constexpr const char* key_secret_key = "key_secret";
inline constexpr const char* limits_key = "request_limits";
inline constexpr const char* evacuated_zones_key = "evacuated_zones";
inline constexpr const char* version_key = "version";

} // namespace flaxtiller::detail
