#include "routed_http_codec.hpp"

#include "http/http_status.hpp"
#include "http/json_reply.hpp"

#include <fmt/format.h>

#include <charconv>

namespace flaxtiller::shell
{

using dispatch::attempt_result;
using dispatch::attempt_status;

namespace
{

/// How long after its deadline the answer of an attempt is still awaited before the connection is closed.
constexpr duration answer_grace = duration::from_ms(250);
/// The time that a caller without a deadline header is assumed to wait, so that the time-out of the route
/// alone determines the deadline of the request.
constexpr duration default_caller_timeout = duration::from_ms(3600000);

/// A request that isn't repeatable is sent on a connection that was idle for at most this time, or on a new
/// connection. A new connection costs a few milliseconds, whereas a request that is lost on a connection
/// closed by the other end can't be sent again.
constexpr duration max_idle_time_for_non_repeatable = duration::from_ms(150);

constexpr int first_server_error = 500;

bool is_success(int status)
{
    return status / 100 == 2;
}

std::optional<duration> parse_ms(const std::string& text)
{
    double ms = 0.0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), ms);
    const bool whole = read.ec == std::errc{} && read.ptr == text.data() + text.size();
    constexpr double max_ms = 1e9;
    if (!whole || ms < 0.0 || ms > max_ms)
    {
        return std::nullopt;
    }
    return duration::from_ms(ms);
}

/// @return the value of `Retry-After`, which is in seconds; zero if there is none
duration retry_after(const http_fields& headers)
{
    double seconds = 0.0;
    const std::string text = headers.value("Retry-After");
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    constexpr double max_seconds = 3600.0;
    return duration::from_ms(1000.0 * std::min(std::max(seconds, 0.0), max_seconds));
}

/// @return whether the backend server confirms that it didn't run the request
bool confirms_not_run(const http_exchange_result& reply, const std::string& not_run_name)
{
    return reply.status == http_not_leader || reply.headers.find(not_run_name) != nullptr;
}

std::string joined(const std::vector<std::string>& items)
{
    std::string text;
    for (const std::string& item : items)
    {
        text += text.empty() ? item : ", " + item;
    }
    return text;
}

int status_of(routed_end end)
{
    switch (end)
    {
    case routed_end::no_route:
        return http_not_found;
    case routed_end::unauthorized:
        return http_unauthorized;
    case routed_end::over_limit:
        return http_too_many;
    case routed_end::refused:
        return http_unavailable;
    case routed_end::failed:
        return http_bad_gateway;
    case routed_end::late:
        return http_gateway_timeout;
    case routed_end::passed_on:
    case routed_end::merged:
        break;
    }
    return http_ok;
}

errc code_of(routed_end end)
{
    switch (end)
    {
    case routed_end::no_route:
        return errc::no_route;
    case routed_end::unauthorized:
        return errc::unauthorized;
    case routed_end::over_limit:
        return errc::over_limit;
    case routed_end::refused:
        return errc::overloaded;
    case routed_end::failed:
        return errc::attempt_failed;
    case routed_end::late:
        return errc::attempt_timed_out;
    case routed_end::passed_on:
    case routed_end::merged:
        break;
    }
    return errc::ok;
}

} // namespace

std::optional<routed_request> routed_http_codec::read_request(const http_request& request) const
{
    routed_request read;
    read.id = request.headers.value(m_names.request_id);
    read.patience = default_caller_timeout;
    if (const std::string* text = request.headers.find(m_names.deadline_ms))
    {
        const auto stated = parse_ms(*text);
        if (!stated)
        {
            return std::nullopt;
        }
        read.patience = *stated;
    }
    if (read.id.empty())
    {
        return std::nullopt;
    }
    read.method = request.method;
    read.target = request.target;
    read.body = request.body;
    read.host = request.headers.value("Host");
    http_fields kept(request.headers.end_to_end());
    kept.remove(m_names.deadline_ms);
    kept.remove(m_names.expected_server);
    kept.remove(m_names.key);
    kept.remove(m_names.team);
    read.headers = kept.items();
    return read;
}

http_exchange routed_http_codec::write_attempt(const start_routed_attempt& attempt, duration left) const
{
    http_exchange exchange;
    exchange.token = attempt.attempt;
    exchange.method = attempt.sent->method;
    exchange.target = attempt.sent->target;
    exchange.headers = http_fields(attempt.sent->headers);
    exchange.headers.add(m_names.deadline_ms, std::to_string(std::max<std::int64_t>(1, left.us() / 1000)));
    exchange.headers.add(m_names.expected_server, attempt.server.str());
    if (!attempt.sent->team.empty())
    {
        exchange.headers.add(m_names.team, attempt.sent->team.str());
    }
    exchange.body = attempt.sent->body;
    exchange.patience = left + answer_grace;
    if (!attempt.repeatable)
    {
        exchange.most_rest = max_idle_time_for_non_repeatable;
    }
    exchange.id_header = m_names.request_id;
    exchange.id = attempt.sent->id;
    exchange.signature_header = m_names.signature;
    return exchange;
}

routed_reply routed_http_codec::read_reply(http_exchange_result reply, bool part) const
{
    routed_reply read;
    switch (reply.end)
    {
    case exchange_end::unreachable:
        read.result.status = attempt_status::unreachable;
        return read;
    case exchange_end::closed:
        read.result.status = attempt_status::cancelled;
        return read;
    case exchange_end::cut:
    case exchange_end::hung_up:
    case exchange_end::foreign:
        read.result.status = attempt_status::cut;
        read.result.hung_up = reply.end == exchange_end::hung_up;
        return read;
    case exchange_end::replied:
        break;
    }
    // A different server than the one asked answers with its own load.
    const std::string* load = reply.headers.find(m_names.load);
    if (load != nullptr && reply.status != http_not_leader)
    {
        read.result.load = dispatch::parse_load_report(*load);
        read.has_malformed_load = !read.result.load;
    }
    if (confirms_not_run(reply, m_names.not_run))
    {
        const bool different_instance = reply.status == http_not_leader;
        read.result.status = different_instance ? attempt_status::leaving : attempt_status::shed;
        read.result.retry_after = retry_after(reply.headers);
        return read;
    }
    const bool success = is_success(reply.status);
    const std::string signature = reply.headers.value(m_names.signature);
    read.result.status = attempt_status::cut;
    if (success && signature.empty())
    {
        // A success without a signature isn't from the backend server itself. Nothing of the reply is
        // forwarded.
        return read;
    }
    if (success || (!part && reply.status < first_server_error))
    {
        read.result.status = attempt_status::answered;
    }
    auto answer = std::make_shared<backend_answer>();
    answer->status = reply.status;
    answer->signature = signature;
    answer->headers = part ? header_list{} : reply.headers.end_to_end();
    answer->body = std::move(reply.body);
    read.answer = std::move(answer);
    return read;
}

http_reply routed_http_codec::write_answer(const routed_outcome& outcome) const
{
    if (outcome.end == routed_end::passed_on)
    {
        http_reply reply;
        reply.status = outcome.answer->status;
        reply.content_type.clear();
        reply.headers = http_fields(outcome.answer->headers);
        reply.body = outcome.answer->body;
        return reply;
    }
    if (outcome.end == routed_end::merged)
    {
        http_reply reply;
        reply.content_type = "application/octet-stream";
        reply.headers.add(m_names.part_signatures, joined(outcome.signatures));
        reply.headers.add(m_names.missing_parts, std::to_string(outcome.missing));
        reply.body = outcome.merged;
        return reply;
    }
    http_reply reply = error_reply(status_of(outcome.end), code_of(outcome.end));
    if (outcome.end == routed_end::refused || outcome.end == routed_end::over_limit)
    {
        reply.headers.add("Retry-After", fmt::format("{:.3f}", outcome.retry_after.ms() / 1000.0));
    }
    return reply;
}

} // namespace flaxtiller::shell
