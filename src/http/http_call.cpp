#include "http_call.hpp"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>

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
        m_parser.body_limit(most_reply_bytes);
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
    static constexpr std::uint64_t most_reply_bytes = std::uint64_t{256} << 20U;

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
            http::async_read(m_stream, m_buffer, m_parser,
                             [this](beast::error_code read_failed, std::size_t)
                             {
                                 on_read(read_failed);
                             });
        }
    }

    void on_read(beast::error_code failed)
    {
        if (failed)
        {
            return;
        }
        const auto& message = m_parser.get();
        http_reply reply;
        reply.status = message.result_int();
        reply.body = message.body();
        for (const auto& field : message)
        {
            reply.headers.add(std::string(field.name_string()), std::string(field.value()));
        }
        m_reply = std::move(reply);
    }

    net::io_context m_io;
    beast::tcp_stream m_stream;
    int m_timeout;
    http::request<http::string_body> m_request;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
    std::optional<http_reply> m_reply;
};

} // namespace

std::optional<http_reply> http_call(const address& at, const http_request& request, int timeout_ms)
{
    return call(at, request, timeout_ms).run();
}

} // namespace flaxtiller::shell
