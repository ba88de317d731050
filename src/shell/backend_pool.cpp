#include "backend_pool.hpp"

#include "http_status.hpp"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <deque>
#include <sstream>
#include <vector>

namespace flaxtiller::shell
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;
using dispatch::attempt_result;
using dispatch::attempt_status;

namespace
{

constexpr unsigned http_version = 11;
/// How long after its deadline an attempt's answer is still awaited, so that a slow cancel can be told from a
/// dead connection.
constexpr duration answer_grace = duration::from_ms(250);
constexpr duration connect_timeout = duration::from_ms(1000);
constexpr std::uint64_t most_answer_bytes = std::uint64_t{64} << 20U;

using request_message = http::request<http::string_body>;
using response_message = http::response<http::string_body>;

std::chrono::microseconds to_chrono(duration span)
{
    return std::chrono::microseconds(span.us());
}

std::string header(const response_message& message, const char* name)
{
    const auto found = message.find(name);
    return found == message.end() ? std::string() : std::string(found->value());
}

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

/// A connection that the pool holds.
struct connection
{
    explicit connection(const net::any_io_executor& executor) : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

using connection_ptr = std::unique_ptr<connection>;

} // namespace

struct backend_pool::state : std::enable_shared_from_this<backend_pool::state>
{
    state(net::io_context& io, address where, metrics& counted_in)
        : strand(net::make_strand(io)), at(std::move(where)), counted(counted_in)
    {
    }

    net::strand<net::io_context::executor_type> strand;
    address at;
    metrics& counted;
    int most = 1;
    int warm = 0;
    std::atomic<int> open{0};
    std::vector<connection_ptr> idle;
    std::deque<std::string> cancels;
    bool cancelling = false;

    /// @return whether the connection still stands and holds no unread bytes: neither closed by the backend
    /// server while it was idle, nor with an answer that nobody read
    static bool is_quiet(connection& used)
    {
        char byte = 0;
        const int socket = used.stream.socket().native_handle();
        const auto count = ::recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    net::awaitable<connection_ptr> take()
    {
        while (!idle.empty())
        {
            connection_ptr reused = std::move(idle.back());
            idle.pop_back();
            if (is_quiet(*reused))
            {
                co_return reused;
            }
            --open;
        }
        if (open >= most)
        {
            co_return nullptr;
        }
        co_return co_await dial();
    }

    net::awaitable<connection_ptr> dial()
    {
        ++open;
        auto fresh = std::make_unique<connection>(strand);
        fresh->stream.expires_after(to_chrono(connect_timeout));
        beast::error_code failed;
        co_await fresh->stream.async_connect(tcp::endpoint(net::ip::make_address(at.ip), at.port),
                                             net::redirect_error(net::use_awaitable, failed));
        if (failed)
        {
            --open;
            co_return nullptr;
        }
        counted.add(metrics::counter::connections_opened);
        fresh->stream.socket().set_option(tcp::no_delay(true), failed);
        co_return fresh;
    }

    void put_back(connection_ptr used, bool reusable)
    {
        if (reusable && open <= most)
        {
            idle.push_back(std::move(used));
            return;
        }
        --open;
    }

    void shrink()
    {
        while (open > most && !idle.empty())
        {
            idle.pop_back();
            --open;
        }
    }

    net::awaitable<void> keep_warm()
    {
        while (static_cast<int>(idle.size()) < warm && open < std::min(most, warm))
        {
            connection_ptr fresh = co_await dial();
            if (!fresh)
            {
                co_return;
            }
            put_back(std::move(fresh), true);
        }
    }

    request_message make_message(const backend_request& request) const
    {
        request_message message(http::verb::post, "/subquery", http_version);
        message.set(http::field::host, at.str());
        message.set("X-Request-Id", request.id);
        message.set("X-Service", request.service);
        message.set("X-Shard", std::to_string(request.shard));
        message.set("X-Shards", std::to_string(request.shards));
        message.set("X-Deadline-Ms", std::to_string(static_cast<std::int64_t>(request.left.ms())));
        if (!request.version.empty())
        {
            message.set("X-Index-Version", request.version.str());
        }
        message.keep_alive(true);
        message.body() = request.body;
        message.prepare_payload();
        return message;
    }

    net::awaitable<void> attempt(backend_request request, completion done)
    {
        attempt_result result;
        connection_ptr used = co_await take();
        if (!used)
        {
            result.status = attempt_status::unreachable;
            done(result);
            co_return;
        }
        const request_message message = make_message(request);
        http::response_parser<http::string_body> parser;
        parser.body_limit(most_answer_bytes);
        beast::error_code failed;
        used->stream.expires_after(to_chrono(request.left + answer_grace));
        co_await http::async_write(used->stream, message, net::redirect_error(net::use_awaitable, failed));
        if (!failed)
        {
            co_await http::async_read(used->stream, used->buffer, parser,
                                      net::redirect_error(net::use_awaitable, failed));
        }
        if (failed)
        {
            result.status = attempt_status::cut;
            put_back(std::move(used), false);
            done(result);
            co_return;
        }
        const response_message answer = parser.release();
        const bool own = header(answer, "X-Request-Id") == request.id;
        if (own)
        {
            result = interpret(answer);
        }
        else
        {
            // Another request's answer: nothing on this connection can be trusted any more.
            counted.add(metrics::counter::foreign_answers);
            result.status = attempt_status::cut;
        }
        const bool reusable = own && answer.keep_alive() && used->buffer.size() == 0;
        put_back(std::move(used), reusable);
        done(result);
    }

    static attempt_result interpret(const response_message& answer)
    {
        attempt_result result;
        result.version = index_version(header(answer, "X-Index-Version"));
        result.held_versions = split_versions(header(answer, "X-Index-Versions"));
        result.leaving = !header(answer, "X-Leaving").empty();
        const std::string retry = header(answer, "X-Retry-After-Ms");
        constexpr std::size_t most_digits = 9;
        const bool digits =
            retry.size() <= most_digits && retry.find_first_not_of("0123456789") == std::string::npos;
        result.retry_after = duration::from_ms(retry.empty() || !digits ? 0.0 : std::stod(retry));
        const bool not_run = !header(answer, "X-Not-Run").empty();
        switch (answer.result_int())
        {
        case http_ok:
            result.status = attempt_status::answered;
            result.body = std::make_shared<const std::string>(answer.body());
            break;
        case http_conflict:
            result.status = not_run ? attempt_status::wrong_version : attempt_status::cut;
            break;
        case http_cancelled:
            result.status = attempt_status::cancelled;
            break;
        case http_unavailable:
            result.status = !not_run         ? attempt_status::cut
                            : result.leaving ? attempt_status::leaving
                                             : attempt_status::shed;
            break;
        default:
            result.status = attempt_status::cut;
            break;
        }
        return result;
    }

    net::awaitable<void> send_cancels()
    {
        cancelling = true;
        while (!cancels.empty())
        {
            const std::string id = std::move(cancels.front());
            cancels.pop_front();
            connection_ptr used = co_await take();
            if (!used)
            {
                continue;
            }
            request_message message(http::verb::post, "/cancel", http_version);
            message.set(http::field::host, at.str());
            message.set("X-Request-Id", id);
            message.keep_alive(true);
            message.prepare_payload();
            response_message reply;
            beast::error_code failed;
            used->stream.expires_after(to_chrono(connect_timeout));
            co_await http::async_write(used->stream, message,
                                       net::redirect_error(net::use_awaitable, failed));
            if (!failed)
            {
                co_await http::async_read(used->stream, used->buffer, reply,
                                          net::redirect_error(net::use_awaitable, failed));
            }
            put_back(std::move(used), !failed && reply.keep_alive());
        }
        cancelling = false;
    }
};

backend_pool::backend_pool(net::io_context& io, address at, metrics& counted)
    : m_state(std::make_shared<state>(io, std::move(at), counted))
{
}

backend_pool::~backend_pool() = default;

void backend_pool::configure(int most_connections, int warm)
{
    net::co_spawn(
        m_state->strand,
        [](std::shared_ptr<state> self, int most, int ahead) -> net::awaitable<void>
        {
            self->most = most;
            self->warm = ahead;
            self->shrink();
            co_await self->keep_warm();
        }(m_state, most_connections, warm),
        net::detached);
}

void backend_pool::send(backend_request request, completion done)
{
    net::co_spawn(
        m_state->strand,
        [](std::shared_ptr<state> self, backend_request wanted, completion told) -> net::awaitable<void>
        {
            co_await self->attempt(std::move(wanted), std::move(told));
        }(m_state, std::move(request), std::move(done)),
        net::detached);
}

void backend_pool::cancel(std::string id)
{
    net::co_spawn(
        m_state->strand,
        [](std::shared_ptr<state> self, std::string wanted) -> net::awaitable<void>
        {
            self->cancels.push_back(std::move(wanted));
            if (!self->cancelling)
            {
                co_await self->send_cancels();
            }
        }(m_state, std::move(id)),
        net::detached);
}

std::size_t backend_pool::connections() const noexcept
{
    return static_cast<std::size_t>(std::max(0, m_state->open.load()));
}

} // namespace flaxtiller::shell
