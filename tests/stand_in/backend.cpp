#include "backend.hpp"

#include "http/http_status.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace flaxtiller::stand_in
{

using shell::http_reply;
using shell::http_request;

namespace
{

std::string header(const http_request& request, const char* name)
{
    return request.headers.value(name);
}

std::string join(const std::vector<std::string>& parts)
{
    std::string joined;
    for (const std::string& part : parts)
    {
        joined += (joined.empty() ? "" : ",") + part;
    }
    return joined;
}

std::chrono::microseconds to_chrono(double ms)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
}

} // namespace

backend::backend(boost::asio::io_context& io, std::string name, behaviour wanted,
                 shell::http_server::limits limits, std::uint64_t seed)
    : m_io(io), m_name(std::move(name)), m_behaviour(std::move(wanted)), m_random(seed),
      m_server(io, limits,
               [this](const http_request& request, const respond& reply)
               {
                   on_request(request, reply);
               })
{
}

std::error_code backend::listen(const shell::address& at)
{
    return m_server.listen(at);
}

double backend::now_ms()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<double>(std::chrono::duration_cast<std::chrono::microseconds>(now).count()) / 1000.0;
}

bool backend::draw(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

void backend::on_request(const http_request& request, const respond& reply)
{
    if (request.target == "/subquery")
    {
        on_subquery(request, reply);
    }
    else if (request.target == "/cancel")
    {
        on_cancel(request, reply);
    }
    else if (request.target == "/control" && request.method == "POST")
    {
        on_control(request, reply);
    }
    else if (request.target == "/runs")
    {
        reply({shell::http_ok, runs().dump(), "application/json", {}, false});
    }
    else if (request.target == "/health")
    {
        const nlohmann::json health = {{"state", m_behaviour.health_state},
                                       {"load", m_behaviour.health_load}};
        reply({shell::http_ok, health.dump(), "application/json", {}, false});
    }
    else
    {
        reply({shell::http_not_found, "{}", "application/json", {}, false});
    }
}

std::string backend::pick_version(const http_request& request) const
{
    const auto& held = m_behaviour.versions;
    const std::string wanted = header(request, "x-index-version");
    const bool right_shard = header(request, "x-shard") == std::to_string(m_behaviour.shard) &&
                             header(request, "x-shards") == std::to_string(m_behaviour.shards);
    if (held.empty() || !right_shard)
    {
        return {};
    }
    if (wanted.empty())
    {
        return held.back();
    }
    return std::find(held.begin(), held.end(), wanted) == held.end() ? std::string() : wanted;
}

http_reply backend::make_reply(const work& item, int status) const
{
    http_reply reply;
    reply.status = status;
    reply.headers.set("X-Request-Id", item.id);
    reply.headers.set("X-Index-Versions", join(m_behaviour.versions));
    if (m_behaviour.leaving)
    {
        reply.headers.set("X-Leaving", "true");
    }
    return reply;
}

http_reply backend::not_run(const work& item, int status) const
{
    http_reply reply = make_reply(item, status);
    reply.headers.set("X-Not-Run", "true");
    reply.headers.set("X-Retry-After-Ms", std::to_string(static_cast<int>(m_behaviour.shed_retry_ms)));
    return reply;
}

void backend::on_subquery(const http_request& request, const respond& reply)
{
    work item{
        request,          reply, header(request, "x-request-id"), pick_version(request), nullptr, now_ms(),
        m_behaviour.shard};
    const bool full = m_running.size() >= static_cast<std::size_t>(m_behaviour.slots);
    int refusal = 0;
    if (m_behaviour.leaving)
    {
        refusal = shell::http_unavailable;
    }
    else if (item.version.empty())
    {
        refusal = shell::http_conflict;
    }
    else if (full && m_behaviour.when_full == "shed")
    {
        refusal = shell::http_unavailable;
    }
    if (refusal != 0)
    {
        ++m_not_run;
        reply(not_run(item, refusal));
        return;
    }
    if (full)
    {
        m_waiting.push_back(std::move(item));
    }
    else
    {
        begin(std::move(item));
    }
    m_most_in_use = std::max(m_most_in_use, m_running.size() + m_waiting.size());
}

void backend::begin(work item)
{
    const std::string id = item.id;
    m_run_index[id] = m_runs.size();
    m_runs.push_back({id, item.request.body, item.version, "running"});
    if (draw(m_behaviour.cut_share))
    {
        m_runs.back().end = "cut";
        item.reply(http_reply{shell::http_ok, {}, {}, {}, true});
        return;
    }
    const double work_ms =
        m_behaviour.work_ms + (draw(m_behaviour.straggler_share) ? m_behaviour.straggler_ms : 0.0);
    item.timer = std::make_unique<boost::asio::steady_timer>(m_io, to_chrono(work_ms));
    item.timer->async_wait(
        [this, id](const boost::system::error_code& stopped)
        {
            if (!stopped)
            {
                finish(id);
            }
        });
    m_running.emplace(id, std::move(item));
}

void backend::finish(const std::string& id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
    {
        return;
    }
    const work item = std::move(found->second);
    m_running.erase(found);
    m_runs[m_run_index[id]].end = "answered";
    http_reply reply = make_reply(item, draw(m_behaviour.error_share) ? shell::http_error : shell::http_ok);
    if (reply.status == shell::http_ok)
    {
        reply.headers.set("X-Index-Version", item.version);
        const nlohmann::json body = {{"server", m_name},
                                     {"shard", item.shard},
                                     {"version", item.version},
                                     {"echo", item.request.body}};
        reply.body = body.dump();
    }
    if (draw(m_behaviour.wrong_identity_share))
    {
        reply.headers.set("X-Request-Id", id + "-another");
    }
    item.reply(reply);
    start_waiting();
}

void backend::start_waiting()
{
    while (!m_waiting.empty() && m_running.size() < static_cast<std::size_t>(m_behaviour.slots))
    {
        work next = std::move(m_waiting.front());
        m_waiting.pop_front();
        const double left = std::atof(header(next.request, "x-deadline-ms").c_str());
        if (now_ms() - next.arrived_ms > left)
        {
            ++m_not_run;
            next.reply(not_run(next, shell::http_unavailable));
            continue;
        }
        begin(std::move(next));
    }
}

void backend::on_cancel(const http_request& request, const respond& reply)
{
    const std::string id = header(request, "x-request-id");
    const auto stop = [this, id]
    {
        const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                          [&](const work& item)
                                          {
                                              return item.id == id;
                                          });
        if (waiting != m_waiting.end())
        {
            const work item = std::move(*waiting);
            m_waiting.erase(waiting);
            ++m_not_run;
            item.reply(not_run(item, shell::http_cancelled));
            return;
        }
        const auto running = m_running.find(id);
        if (running == m_running.end())
        {
            return;
        }
        const work item = std::move(running->second);
        m_running.erase(running);
        item.timer->cancel();
        m_runs[m_run_index[id]].end = "cancelled";
        item.reply(make_reply(item, shell::http_cancelled));
        start_waiting();
    };
    if (m_behaviour.cancel == "obey")
    {
        stop();
    }
    else if (m_behaviour.cancel == "slow")
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io, to_chrono(m_behaviour.cancel_slow_ms));
        timer->async_wait(
            [timer, stop](const boost::system::error_code&)
            {
                stop();
            });
    }
    reply({shell::http_ok, "{}", "application/json", {}, false});
}

void backend::on_control(const http_request& request, const respond& reply)
{
    nlohmann::json wanted = m_behaviour;
    const nlohmann::json change = nlohmann::json::parse(request.body, nullptr, false);
    if (!change.is_object())
    {
        reply({shell::http_bad_request, R"({"error":"wants an object"})", "application/json", {}, false});
        return;
    }
    wanted.update(change);
    m_behaviour = wanted.get<behaviour>();
    reply({shell::http_ok, wanted.dump(), "application/json", {}, false});
}

nlohmann::json backend::runs() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const run& item : m_runs)
    {
        list.push_back({{"id", item.id}, {"body", item.body}, {"version", item.version}, {"end", item.end}});
    }
    return {{"name", m_name},
            {"runs", list},
            {"not_run", m_not_run},
            {"most_in_use", m_most_in_use},
            {"most_connections", m_server.most_connections_seen()},
            {"connections_refused", m_server.connections_refused()}};
}

} // namespace flaxtiller::stand_in
