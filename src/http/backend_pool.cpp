#include "backend_pool.hpp"

#include "http_status.hpp"

#include <boost/asio/strand.hpp>

#include <sstream>
#include <utility>
#include <vector>

namespace flaxtiller::shell
{

using dispatch::attempt_result;
using dispatch::attempt_status;

namespace
{

/// Time after the deadline of an attempt during which its answer is still accepted, so that a slow
/// cancellation can be distinguished from a dead connection.
constexpr duration answer_grace = duration::from_ms(250);
/// Time within which the backend server must acknowledge a cancellation.
constexpr duration cancel_timeout = duration::from_ms(1000);
constexpr const char* id_header = "X-Request-Id";

std::vector<index_version> split_versions(const std::string& list)
{
    std::vector<index_version> versions;
    std::istringstream stream(list);
    for (std::string version; std::getline(stream, version, ',');)
    {
        versions.emplace_back(version);
    }
    return versions;
}

duration retry_after(const http_fields& headers)
{
    constexpr std::size_t max_digits = 9;
    const std::string text = headers.value("X-Retry-After-Ms");
    const bool digits =
        text.size() <= max_digits && text.find_first_not_of("0123456789") == std::string::npos;
    return duration::from_ms(text.empty() || !digits ? 0.0 : std::stod(text));
}

attempt_status status_of(const http_exchange_result& reply, bool leaving)
{
    const bool not_run = reply.headers.find("X-Not-Run") != nullptr;
    switch (reply.status)
    {
    case http_ok:
        return attempt_status::answered;
    case http_conflict:
        return not_run ? attempt_status::wrong_version : attempt_status::cut;
    case http_cancelled:
        return attempt_status::cancelled;
    case http_unavailable:
        if (!not_run)
        {
            return attempt_status::cut;
        }
        return leaving ? attempt_status::leaving : attempt_status::shed;
    default:
        return attempt_status::cut;
    }
}

attempt_result interpret(http_exchange_result reply)
{
    attempt_result result;
    if (reply.end != exchange_end::replied)
    {
        const bool sent = reply.end != exchange_end::unreachable;
        result.status = sent ? attempt_status::cut : attempt_status::unreachable;
        return result;
    }
    result.version = index_version(reply.headers.value("X-Index-Version"));
    result.held_versions = split_versions(reply.headers.value("X-Index-Versions"));
    result.leaving = !reply.headers.value("X-Leaving").empty();
    result.retry_after = retry_after(reply.headers);
    result.status = status_of(reply, result.leaving);
    if (result.status == attempt_status::answered)
    {
        result.body = std::make_shared<const std::string>(std::move(reply.body));
    }
    return result;
}

} // namespace

backend_pool::backend_pool(boost::asio::io_context& io, address at, metrics& pool_metrics)
    : m_host(at.str()), m_connections(boost::asio::make_strand(io), at, pool_metrics)
{
}

void backend_pool::send(backend_request request, completion done)
{
    http_exchange exchange;
    exchange.method = "POST";
    exchange.target = "/subquery";
    exchange.headers.add("Host", m_host);
    exchange.headers.add(id_header, request.id);
    exchange.headers.add("X-Service", request.service);
    exchange.headers.add("X-Shard", std::to_string(request.shard));
    exchange.headers.add("X-Shards", std::to_string(request.shards));
    exchange.headers.add("X-Deadline-Ms", std::to_string(static_cast<std::int64_t>(request.left.ms())));
    if (!request.version.empty())
    {
        exchange.headers.add("X-Index-Version", request.version.str());
    }
    exchange.body = std::move(request.body);
    exchange.patience = request.left + answer_grace;
    exchange.id_header = id_header;
    exchange.id = std::move(request.id);
    m_connections.send(std::move(exchange),
                       [done = std::move(done)](http_exchange_result reply)
                       {
                           done(interpret(std::move(reply)));
                       });
}

void backend_pool::cancel(std::string id)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_cancels.push_back(std::move(id));
        if (m_cancelling)
        {
            return;
        }
        m_cancelling = true;
    }
    send_next_cancel();
}

void backend_pool::send_next_cancel()
{
    http_exchange exchange;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_cancels.empty())
        {
            m_cancelling = false;
            return;
        }
        exchange.headers.add(id_header, std::move(m_cancels.front()));
        m_cancels.pop_front();
    }
    exchange.method = "POST";
    exchange.target = "/cancel";
    exchange.headers.add("Host", m_host);
    exchange.patience = cancel_timeout;
    // Cancellations are sent one at a time, on the connection that is not used for subqueries. The reply is
    // ignored, since the result of the attempt itself shows whether it was stopped.
    m_connections.send(std::move(exchange),
                       [self = shared_from_this()](const http_exchange_result&)
                       {
                           self->send_next_cancel();
                       });
}

} // namespace flaxtiller::shell
