#include "settings_reload.hpp"

#include "log.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <set>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

/// @return the settings without the addresses of control replicas, which may change while a process runs
nlohmann::json without_reloaded_keys(const std::string& text)
{
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false, /*ignore_comments=*/true);
    if (!document.is_object())
    {
        return nlohmann::json::object();
    }
    document.erase("control");
    const auto membership = document.find("membership");
    if (membership != document.end() && membership->is_object())
    {
        membership->erase("seeds");
        membership->erase("link_port");
    }
    return document;
}

std::vector<std::string> differing_keys(const std::string& text_before, const std::string& text_now)
{
    const nlohmann::json before = without_reloaded_keys(text_before);
    const nlohmann::json now = without_reloaded_keys(text_now);
    std::set<std::string> keys;
    for (const nlohmann::json* document : {&before, &now})
    {
        for (const auto& [key, value] : document->items())
        {
            const bool is_same = before.contains(key) && now.contains(key) && before[key] == now[key];
            if (!is_same)
            {
                keys.insert(key);
            }
        }
    }
    return {keys.begin(), keys.end()};
}

} // namespace

settings_source open_settings(std::string file, std::function<std::string(findings&)> read, findings& found)
{
    std::string text = read(found);
    return {std::move(file), std::move(text), std::move(read)};
}

settings_reload::settings_reload(std::string text, std::vector<named_address> replicas,
                                 replicas_reader read_replicas)
    : m_text_at_start(std::move(text)), m_replicas(std::move(replicas)),
      m_read_replicas(std::move(read_replicas)), m_last_text(m_text_at_start)
{
}

settings_reload::outcome settings_reload::on_read(cause why, const std::string& text, findings found)
{
    outcome result;
    const bool is_same = text == m_last_text && found == m_last_found;
    if (is_same && why == cause::lost_contact)
    {
        return result;
    }
    m_last_text = text;
    m_last_found = found;
    result.is_reported = true;
    std::vector<named_address> named;
    if (!found.has_errors())
    {
        named = m_read_replicas(text, found);
    }
    if (!found.has_errors() && named.empty() && !m_replicas.empty())
    {
        found.error(errc::missing_key, "/", "names no control replica");
    }
    result.is_refused = found.has_errors();
    result.found = std::move(found);
    if (result.is_refused)
    {
        return result;
    }
    result.ignored = differing_keys(m_text_at_start, text);
    if (named != m_replicas)
    {
        m_replicas = named;
        result.replicas = std::move(named);
    }
    return result;
}

void log_outcome(const settings_reload::outcome& result)
{
    if (!result.is_reported)
    {
        return;
    }
    if (result.is_refused)
    {
        log(log_level::warning, "settings_refused", {{"findings", result.found.to_text()}});
        return;
    }
    log(log_level::info, "settings_reloaded",
        {{"ignored", fmt::format("{}", fmt::join(result.ignored, ","))}});
    if (result.replicas)
    {
        log(log_level::info, "control_addresses_reloaded", {{"count", result.replicas->size()}});
    }
}

} // namespace flaxtiller::shell
