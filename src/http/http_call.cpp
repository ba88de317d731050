#include "http_call.hpp"

#include "reply_reader.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstddef>
#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;

namespace
{

/// One call, which runs on its own io_context, so that a single time limit covers connect, write and read.
class call
{
  public:
    call(const address& at, const http_request& request, int timeout_ms)
        : m_stream(m_io), m_timeout(timeout_ms)
    {
        constexpr unsigned http_version = 11;
        m_request.method_string(request.method);
        m_request.target(request.target);
        m_request.version(http_version);
        m_request.set(http::field::host, at.str());
        m_request.keep_alive(false);
        for (const auto& [name, value] : request.headers.items())
        {
            m_request.set(name, value);
        }
        m_request.body() = request.body;
        m_request.prepare_payload();
        m_stream.expires_after(std::chrono::milliseconds(m_timeout));
        m_stream.async_connect(tcp::endpoint(net::ip::make_address(at.ip), at.port),
                               [this](beast::error_code failed)
                               {
                                   on_connected(failed);
                               });
    }

    std::optional<http_reply> run()
    {
        m_io.run();
        return std::move(m_reply);
    }

  private:
    static constexpr std::size_t most_reply_bytes = std::size_t{256} << 20U;

    void on_connected(beast::error_code failed)
    {
        if (!failed)
        {
            http::async_write(m_stream, m_request,
                              [this](beast::error_code write_failed, std::size_t)
                              {
                                  on_written(write_failed);
                              });
        }
    }

    void on_written(beast::error_code failed)
    {
        if (!failed)
        {
            m_reader.begin();
            read();
        }
    }

    void read()
    {
        m_stream.async_read_some(m_reader.space(),
                                 [this](beast::error_code failed, std::size_t bytes)
                                 {
                                     on_read(failed, bytes);
                                 });
    }

    void on_read(beast::error_code failed, std::size_t bytes)
    {
        if (failed && failed != net::error::eof)
        {
            return;
        }
        const reply_reader::state reader_state = failed ? m_reader.ended() : m_reader.arrived(bytes);
        if (reader_state == reply_reader::state::needs_more)
        {
            read();
        }
        else if (reader_state == reply_reader::state::complete)
        {
            take_reply();
        }
    }

    void take_reply()
    {
        http_exchange_result result;
        m_reader.take(result);
        http_reply reply;
        reply.status = result.status;
        reply.body = std::move(result.body);
        reply.headers = std::move(result.headers);
        m_reply = std::move(reply);
    }

    net::io_context m_io;
    beast::tcp_stream m_stream;
    int m_timeout;
    http::request<http::string_body> m_request;
    message_memory m_memory{{most_reply_bytes, most_reply_bytes, most_reply_bytes}};
    reply_reader m_reader{m_memory};
    std::optional<http_reply> m_reply;
};

} // namespace

std::optional<http_reply> http_call(const address& at, const http_request& request, int timeout_ms)
{
    return call(at, request, timeout_ms).run();
}

} // namespace flaxtiller::shell
