#include <flaxtiller/register/register_state.hpp>

#include <algorithm>

namespace flaxtiller
{

register_reply register_state::apply(const register_command& command)
{
    // The time never decreases, so that a leader with a slow clock cannot accept a removed key again.
    m_now_ms = std::max(m_now_ms, command.now_ms);
    remove_expired();
    return command.action == register_action::begin ? begin(command) : finish(command);
}

std::string register_state::apply_bytes(const std::string& command)
{
    register_reply reply;
    try
    {
        reply = apply(nlohmann::json::from_cbor(command).get<register_command>());
    }
    catch (const nlohmann::json::exception&)
    {
        // Every replica fails in the same way, so that their states remain equal.
        reply = {};
    }
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(reply), bytes);
    return bytes;
}

register_reply register_state::begin(const register_command& command)
{
    const auto found = m_entries.find(command.key);
    if (found == m_entries.end())
    {
        const bool too_old = command.key_time_ms < m_now_ms - retention_ms;
        const bool too_new = command.key_time_ms > m_now_ms + max_ahead_ms;
        if (too_old || too_new)
        {
            return {register_status::key_expired, {}};
        }
        entry created;
        created.digest = command.digest;
        created.key_time_ms = command.key_time_ms;
        created.asker = command.asker;
        m_entries.emplace(command.key, created);
        m_by_time.emplace(command.key_time_ms, command.key);
        return {register_status::granted, {}};
    }
    entry& known = found->second;
    if (known.digest != command.digest)
    {
        return {register_status::key_reused, {}};
    }
    if (!known.finished)
    {
        // The same requester repeats its command, for example after a change of the leader.
        const bool same_requester = known.asker == command.asker;
        return {same_requester ? register_status::granted : register_status::in_progress, {}};
    }
    switch (known.outcome)
    {
    case outcome::run:
        return {register_status::done, known.answer};
    case outcome::unknown:
        return {register_status::unknown, {}};
    case outcome::not_run:
        break;
    }
    known.finished = false;
    known.asker = command.asker;
    return {register_status::granted, {}};
}

register_reply register_state::finish(const register_command& command)
{
    const auto found = m_entries.find(command.key);
    if (found == m_entries.end())
    {
        return {register_status::key_expired, {}};
    }
    entry& known = found->second;
    if (known.asker != command.asker)
    {
        return {register_status::in_progress, {}};
    }
    if (!known.finished)
    {
        known.finished = true;
        known.outcome = command.outcome;
        known.answer = command.answer;
    }
    return {register_status::done, known.answer};
}

void register_state::remove_expired()
{
    while (!m_by_time.empty() && m_by_time.begin()->first < m_now_ms - retention_ms)
    {
        m_entries.erase(m_by_time.begin()->second);
        m_by_time.erase(m_by_time.begin());
    }
}

std::size_t register_state::size() const noexcept
{
    return m_entries.size();
}

std::string register_state::serialize() const
{
    nlohmann::json j = {{"now_ms", m_now_ms}, {"entries", nlohmann::json::array()}};
    for (const auto& [key, item] : m_entries)
    {
        j["entries"].push_back({{"key", key},
                                {"digest", item.digest},
                                {"key_time_ms", item.key_time_ms},
                                {"asker", item.asker},
                                {"finished", item.finished},
                                {"outcome", item.outcome},
                                {"answer", item.answer}});
    }
    const auto bytes = nlohmann::json::to_cbor(j);
    return {bytes.begin(), bytes.end()};
}

register_state register_state::deserialize(const std::string& bytes)
{
    const auto j = nlohmann::json::from_cbor(bytes);
    register_state state;
    state.m_now_ms = j.at("now_ms");
    for (const auto& item : j.at("entries"))
    {
        entry restored;
        restored.digest = item.at("digest");
        restored.key_time_ms = item.at("key_time_ms");
        restored.asker = item.at("asker");
        restored.finished = item.at("finished");
        restored.outcome = item.at("outcome").get<enum outcome>();
        restored.answer = item.at("answer");
        const auto key = item.at("key").get<request_key>();
        state.m_by_time.emplace(restored.key_time_ms, key);
        state.m_entries.emplace(key, std::move(restored));
    }
    return state;
}

} // namespace flaxtiller
