#include <flaxtiller/catalog/catalog_state.hpp>

#include "configuration_keys.hpp"

#include <flaxtiller/core/json_reader.hpp>

#include <utility>

namespace flaxtiller
{

change evacuation_order(change_id id, const std::string& zone, bool evacuated)
{
    change order;
    order.id = std::move(id);
    order.kind = change_kind::evacuate;
    order.body = {{"availability_zone", zone}, {"evacuated", evacuated}};
    return order;
}

void add_key_secret(change& wanted)
{
    if (!wanted.body.is_object() ||
        (wanted.kind != change_kind::replace && wanted.kind != change_kind::patch))
    {
        return;
    }
    nlohmann::json& items = wanted.kind == change_kind::patch
                                ? *wanted.body.emplace("upsert", nlohmann::json::object()).first
                                : wanted.body;
    if (!items.is_object())
    {
        return;
    }
    // A document that was read from a deployment without a secret contains an empty one.
    const auto stated = items.find(detail::key_secret_key);
    if (stated == items.end() || *stated == "")
    {
        items[detail::key_secret_key] = generate_key_secret();
    }
}

bool catalog_state::is_superseded(const change& requested) const
{
    return requested.version > 0 && requested.version <= m_current.version;
}

findings catalog_state::check(const change& requested) const
{
    if (m_results.count(requested.id) > 0 || is_superseded(requested))
    {
        return {};
    }
    configuration next;
    findings found = evaluate(requested, next).found;
    // A patch may concern other items than those that earlier versions accepted.
    const bool is_new = requested.kind == change_kind::replace ||
                        (requested.kind == change_kind::patch && !check_new(m_current).has_errors());
    if (is_new)
    {
        found.append(check_new(next));
    }
    return found;
}

change_result catalog_state::apply(const change& requested)
{
    const auto known = m_results.find(requested.id);
    if (known != m_results.end())
    {
        return known->second;
    }
    if (is_superseded(requested))
    {
        return {change_status::superseded, m_revision, {}, {}};
    }
    configuration next;
    change_result result = evaluate(requested, next);
    if (result.status == change_status::accepted && result.revision > m_revision)
    {
        // A complete document also contains the unchanged items. Sharing saves memory in the history.
        next.share_with(m_current);
        m_current = std::move(next);
        m_revision = result.revision;
        m_made_by = requested.id;
        m_history.push_back({m_revision, m_made_by, m_current});
        drop_old_revisions();
    }
    if (requested.version == 0)
    {
        // The result of a change with a version is not kept: the version itself shows that the change was
        // applied.
        store_result(requested.id, result);
    }
    return result;
}

namespace
{

/// Decodes a change. The body is moved, because a copy of a complete document made up a tenth of the cost of
/// a change on a replica.
change read_change(const std::string& command)
{
    auto document = nlohmann::json::from_cbor(command);
    nlohmann::json body = std::exchange(document.at("body"), nullptr);
    change decoded = document.get<change>();
    decoded.body = std::move(body);
    return decoded;
}

} // namespace

std::string catalog_state::apply_bytes(const std::string& command)
{
    std::string bytes;
    try
    {
        const change_result result = apply(read_change(command));
        nlohmann::json::to_cbor(nlohmann::json(result), bytes);
    }
    catch (const nlohmann::json::exception&)
    {
        // Every replica fails in the same way, so that their states remain equal.
        nlohmann::json::to_cbor(nlohmann::json(change_result{}), bytes);
    }
    return bytes;
}

change_result catalog_state::evaluate(const change& requested, configuration& next) const
{
    change_result result;
    result.revision = m_revision;
    const bool evacuates = requested.kind == change_kind::evacuate;
    if (requested.version == 0 && requested.base_revision != m_revision && !evacuates)
    {
        result.status = change_status::conflict;
        result.winner = m_made_by;
        return result;
    }
    next = next_configuration(requested, result.found);
    next.version = requested.version > 0 ? requested.version : m_current.version;
    if (evacuates && !result.found.has_errors() && next == m_current)
    {
        // The order has no effect; the current revision already includes it.
        result.status = change_status::accepted;
        return result;
    }
    if (result.found.has_errors())
    {
        result.status = change_status::invalid;
        return result;
    }
    result.found.append(validate(next));
    result.status = result.found.has_errors() ? change_status::invalid : change_status::accepted;
    if (result.status == change_status::accepted)
    {
        result.revision = m_revision + 1;
    }
    return result;
}

configuration catalog_state::next_configuration(const change& requested, findings& found) const
{
    configuration next;
    switch (requested.kind)
    {
    case change_kind::evacuate:
        return apply_evacuation_order(requested.body, found);
    case change_kind::replace:
        next = parse_configuration(requested.body, found);
        break;
    case change_kind::patch:
        next = apply_patch(m_current, requested.body, found);
        break;
    case change_kind::roll_back:
        next = configuration_at_revision(requested.body, found);
        break;
    }
    preserve_evacuated_zones(next, found);
    if (!m_current.key_secret.empty())
    {
        // The digests of keys that entries hold were computed with the current secret.
        next.key_secret = m_current.key_secret;
    }
    return next;
}

/// Keeps the evacuated zones of the current configuration, since an operator may send a complete document
/// that was read before a zone was evacuated or before its evacuation ended.
void catalog_state::preserve_evacuated_zones(configuration& next, findings& found) const
{
    if (!next.evacuated_zones.empty() && next.evacuated_zones != m_current.evacuated_zones)
    {
        found.warning(errc::key_conflict, "/evacuated_zones",
                      "stays as it is: zones are evacuated by orders of their own");
    }
    next.evacuated_zones = m_current.evacuated_zones;
}

configuration catalog_state::apply_evacuation_order(const nlohmann::json& order, findings& found) const
{
    configuration next = m_current;
    json_reader reader(order, "", found);
    std::string zone;
    bool is_evacuated = true;
    reader.require("availability_zone");
    reader.text("availability_zone", zone);
    reader.require("evacuated");
    reader.flag("evacuated", is_evacuated);
    reader.finish();
    if (zone.empty())
    {
        found.error(errc::out_of_range, reader.at("availability_zone"), "must not be empty");
        return next;
    }
    is_evacuated ? (void)next.evacuated_zones.insert(zone) : (void)next.evacuated_zones.erase(zone);
    return next;
}

configuration catalog_state::configuration_at_revision(const nlohmann::json& body, findings& found) const
{
    const auto wanted = body.is_object() ? body.value("revision", std::int64_t{-1}) : -1;
    for (const revision_record& record : m_history)
    {
        if (record.revision == wanted)
        {
            return record.value;
        }
    }
    found.error(errc::revision_unknown, "/revision", std::to_string(wanted) + " isn't kept");
    return {};
}

void catalog_state::drop_old_revisions()
{
    const auto item_count = [](const configuration& value)
    {
        std::size_t items =
            value.services.size() + value.backend_servers.size() + value.placement_rules.size();
        for (const auto& [name, item] : value.routes)
        {
            items += 1 + item.targets.size() + item.fan_out.size();
        }
        for (const auto& [name, item] : value.teams)
        {
            items += 1 + item.keys.size();
        }
        return items;
    };
    std::size_t items = 0;
    std::size_t kept = 0;
    for (auto record = m_history.rbegin(); record != m_history.rend(); ++record)
    {
        items += item_count(record->value);
        if (kept >= max_history_revisions || (kept >= min_history_revisions && items > max_history_items))
        {
            break;
        }
        ++kept;
    }
    m_history.erase(m_history.begin(), m_history.end() - static_cast<std::ptrdiff_t>(kept));
}

void catalog_state::store_result(const change_id& id, const change_result& result)
{
    m_results.emplace(id, result);
    m_result_order.push_back(id);
    if (m_result_order.size() > max_results)
    {
        m_results.erase(m_result_order.front());
        m_result_order.pop_front();
    }
}

const configuration& catalog_state::current() const noexcept
{
    return m_current;
}

std::int64_t catalog_state::revision() const noexcept
{
    return m_revision;
}

std::map<std::int64_t, change_id> catalog_state::history() const
{
    std::map<std::int64_t, change_id> kept;
    for (const revision_record& record : m_history)
    {
        kept.emplace(record.revision, record.made_by);
    }
    return kept;
}

std::string catalog_state::serialize() const
{
    nlohmann::json j = {{"revision", m_revision}, {"made_by", m_made_by}, {"current", m_current}};
    j["history"] = nlohmann::json::array();
    for (const revision_record& record : m_history)
    {
        j["history"].push_back(
            {{"revision", record.revision}, {"made_by", record.made_by}, {"value", record.value}});
    }
    j["results"] = nlohmann::json::array();
    for (const change_id& id : m_result_order)
    {
        j["results"].push_back({{"id", id}, {"result", m_results.at(id)}});
    }
    const auto bytes = nlohmann::json::to_cbor(j);
    return {bytes.begin(), bytes.end()};
}

catalog_state catalog_state::deserialize(const std::string& bytes)
{
    const auto j = nlohmann::json::from_cbor(bytes);
    findings ignored;
    catalog_state state;
    state.m_revision = j.at("revision");
    state.m_made_by = j.at("made_by").get<change_id>();
    state.m_current = parse_configuration(j.at("current"), ignored);
    for (const auto& record : j.at("history"))
    {
        configuration value = parse_configuration(record.at("value"), ignored);
        value.share_with(state.m_history.empty() ? state.m_current : state.m_history.back().value);
        state.m_history.push_back(
            {record.at("revision"), record.at("made_by").get<change_id>(), std::move(value)});
    }
    for (const auto& entry : j.at("results"))
    {
        state.store_result(entry.at("id").get<change_id>(), entry.at("result").get<change_result>());
    }
    return state;
}

} // namespace flaxtiller
