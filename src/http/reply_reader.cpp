#include "reply_reader.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <utility>

namespace flaxtiller::shell
{

namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

/// A head, a line between two chunks, or a trailer must fit. Its bytes are kept until its end arrives.
constexpr std::size_t most_unparsed_bytes = std::size_t{16} << 10U;
/// The size of one read. The reply of one shard, headers and body, usually fits.
constexpr std::size_t read_bytes = 4096;

} // namespace

struct reply_reader::implementation
{
    explicit implementation(message_memory& from) : memory(from), share(from)
    {
    }

    message_memory& memory;
    message_memory::share share;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
};

reply_reader::reply_reader(message_memory& memory)
    : m_implementation(std::make_unique<implementation>(memory))
{
}

reply_reader::~reply_reader() = default;

void reply_reader::begin()
{
    m_implementation->buffer.clear();
    auto& parser = m_implementation->parser.emplace();
    parser.body_limit(m_implementation->memory.bounds().lone_bytes);
    parser.eager(true);
    (void)m_implementation->share.resize(0);
}

boost::asio::mutable_buffer reply_reader::space()
{
    return m_implementation->buffer.prepare(read_bytes);
}

reply_reader::state reply_reader::arrived(std::size_t bytes)
{
    m_implementation->buffer.commit(bytes);
    return read();
}

reply_reader::state reply_reader::read()
{
    beast::flat_buffer& buffer = m_implementation->buffer;
    auto& parser = m_implementation->parser;
    while (!parser->is_done() && buffer.size() > 0)
    {
        beast::error_code failed;
        const std::size_t used = parser->put(buffer.data(), failed);
        buffer.consume(used);
        if (failed == http::error::need_more)
        {
            break;
        }
        if (failed)
        {
            return state::malformed;
        }
    }
    if (parser->is_done())
    {
        return state::complete;
    }
    const bool fits = m_implementation->share.resize(parser->get().body().size() + buffer.size());
    return fits && buffer.size() <= most_unparsed_bytes ? state::needs_more : state::malformed;
}

reply_reader::state reply_reader::ended()
{
    if (!m_implementation->parser->got_some())
    {
        return state::malformed;
    }
    beast::error_code failed;
    m_implementation->parser->put_eof(failed);
    return !failed && m_implementation->parser->is_done() ? state::complete : state::malformed;
}

void reply_reader::take(http_exchange_result& into)
{
    auto& message = m_implementation->parser->get();
    into.status = static_cast<int>(message.result_int());
    for (const auto& field : message)
    {
        into.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    into.body = std::move(message.body());
    (void)m_implementation->share.resize(0);
}

bool reply_reader::is_reusable() const
{
    return m_implementation->parser->keep_alive() && m_implementation->buffer.size() == 0;
}

} // namespace flaxtiller::shell
