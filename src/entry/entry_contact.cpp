#include "entry_implementation.hpp"

#include <algorithm>

namespace flaxtiller::shell
{

namespace
{

/// The interval at which an entry logs that its contact with the leader stays lost.
constexpr duration contact_line_interval = duration::from_ms(5000);

/// The interval at which an entry without contact reads its settings file again.
constexpr duration settings_interval = duration::from_ms(1000);

/// @return the first few names, separated by commas; limited to keep log lines short
std::string joined(const std::vector<std::string>& names)
{
    constexpr std::size_t max_shown = 8;
    std::string text;
    for (std::size_t i = 0; i < std::min(names.size(), max_shown); ++i)
    {
        text += (i == 0 ? "" : ",") + names[i];
    }
    return text;
}

} // namespace

std::vector<std::string> entry_process::implementation::reachable_control_replicas() const
{
    std::vector<std::string> names;
    for (const named_address& replica : control.addresses())
    {
        if (reachable.count(replica.name) > 0)
        {
            names.push_back(replica.name);
        }
    }
    return names;
}

void entry_process::implementation::track_leader_contact()
{
    const time_point now = clock.now();
    contact.set_replica_reachable(!reachable_control_replicas().empty(), now);
    log_leader_contact(now);
    if (contact_lost)
    {
        search_settings(now);
    }
}

void entry_process::implementation::search_settings(time_point now)
{
    if (now >= next_settings_reading_at)
    {
        next_settings_reading_at = now + settings_interval;
        reload_settings(settings_reload::cause::lost_contact);
    }
}

void entry_process::implementation::reload_settings(settings_reload::cause why)
{
    findings found;
    const std::string text = source.read(found);
    const settings_reload::outcome result = reloaded.on_read(why, text, found);
    log_outcome(result);
    if (result.replicas && control.set_configured(*result.replicas))
    {
        on_control_replicas_changed();
    }
}

void entry_process::implementation::log_leader_contact(time_point now)
{
    const bool lost = contact.is_lost(now);
    if (lost == contact_lost && (!lost || now < next_contact_line_at))
    {
        return;
    }
    contact_lost = lost;
    next_contact_line_at = now + contact_line_interval;
    if (!lost)
    {
        log(log_level::info, "leader_contact_restored",
            {{"leader", leader}, {"revision", subscriber.revision()}});
        return;
    }
    const std::vector<std::string> reached = reachable_control_replicas();
    log(log_level::warning, "leader_contact_lost",
        {{"for_ms", contact.since_confirmation(now).ms()},
         {"known", joined(names_of(control.addresses()))},
         {"reachable", joined(reached)},
         {"reachable_peers", reachable.size()},
         {"revision", subscriber.revision()}});
}

} // namespace flaxtiller::shell
