#include "request_reader.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace flaxtiller::shell
{

namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

/// The size of one read. A head usually fits.
constexpr std::size_t read_bytes = 4096;
/// The size of one read of a body of known length.
constexpr std::size_t body_read_bytes = std::size_t{64} << 10U;
/// The size of one read of a body in chunks, each of which takes time, so that small ones don't hold up other
/// connections.
constexpr std::size_t chunked_read_bytes = std::size_t{8} << 10U;
/// What a field holds beside its text, and how often its text is held: in the parser, in the request, and in
/// the request as it is routed.
constexpr std::size_t field_overhead_bytes = 256;
constexpr std::size_t text_copies = 3;

/// @return the memory for the head and the trailer of a message, in bytes
std::size_t head_bytes_of(const http::request<http::string_body>& message)
{
    std::size_t bytes = message.target().size() * text_copies;
    for (const auto& field : message)
    {
        bytes += (field.name_string().size() + field.value().size()) * text_copies + field_overhead_bytes;
    }
    return bytes;
}

/// @return the memory that the text holds beside the string itself, in bytes
std::size_t allocated_bytes(const std::string& text)
{
    static const std::size_t within_string = std::string().capacity();
    return text.capacity() > within_string ? text.capacity() : 0;
}

} // namespace

struct request_reader::implementation
{
    explicit implementation(message_memory& from) : share(from)
    {
    }

    state parse(std::string_view& bytes);
    state check_unparsed() const;
    void account();

    request_size_limits limits;
    message_memory::share share;
    /// Bytes that the parser doesn't take before more arrive, or that follow the request.
    std::string unparsed;
    std::optional<http::request_parser<http::string_body>> parser;
    /// The memory for the head and the trailer as parsed.
    std::size_t parsed_head_bytes = 0;
    /// The capacity of the body after it was moved out.
    std::size_t taken_body_bytes = 0;
};

request_reader::request_reader(message_memory& memory)
    : m_implementation(std::make_unique<implementation>(memory))
{
    m_implementation->parser.emplace();
}

request_reader::~request_reader() = default;

request_reader::state request_reader::begin(const request_size_limits& limits)
{
    implementation& self = *m_implementation;
    self.limits = limits;
    release();
    auto& parser = self.parser;
    parser->body_limit(limits.body_bytes);
    constexpr std::size_t most_header_bytes = std::numeric_limits<std::uint32_t>::max();
    parser->header_limit(static_cast<std::uint32_t>(std::min(limits.header_bytes, most_header_bytes)));
    parser->eager(true);
    return self.unparsed.empty() ? state::needs_more : arrived({});
}

request_reader::state request_reader::arrived(std::string_view bytes)
{
    implementation& self = *m_implementation;
    state now = state::needs_more;
    if (self.unparsed.empty())
    {
        now = self.parse(bytes);
        self.unparsed.assign(bytes);
    }
    else
    {
        self.unparsed.append(bytes);
        std::string_view rest = self.unparsed;
        now = self.parse(rest);
        self.unparsed.erase(0, self.unparsed.size() - rest.size());
    }
    if (self.unparsed.empty())
    {
        std::string().swap(self.unparsed);
    }
    self.account();
    return now;
}

/// @param bytes the bytes to parse; what the parser doesn't take remains
request_reader::state request_reader::implementation::parse(std::string_view& bytes)
{
    while (!parser->is_done() && !bytes.empty())
    {
        const bool had_head = parser->is_header_done();
        beast::error_code failed;
        const std::size_t used = parser->put(boost::asio::buffer(bytes.data(), bytes.size()), failed);
        bytes.remove_prefix(used);
        // The head adds fields, and so does the trailer.
        if (parser->is_header_done() && (!had_head || parser->is_done()))
        {
            parsed_head_bytes = head_bytes_of(parser->get());
        }
        if (failed == http::error::need_more)
        {
            break;
        }
        if (failed)
        {
            return failed == http::error::body_limit     ? state::body_too_large
                   : failed == http::error::header_limit ? state::header_too_large
                                                         : state::malformed;
        }
    }
    if (parser->is_done())
    {
        return state::complete;
    }
    // The parser takes a head, a line between two chunks, and a trailer only as a whole.
    return bytes.size() > limits.header_bytes ? state::header_too_large : state::needs_more;
}

void request_reader::implementation::account()
{
    std::size_t body_bytes = allocated_bytes(parser->get().body());
    if (const auto rest = parser->is_header_done() ? parser->content_length_remaining() : boost::none)
    {
        // A body of known length gets its memory with its first byte.
        body_bytes = std::max(body_bytes, parser->get().body().size() + static_cast<std::size_t>(*rest));
    }
    (void)share.resize(allocated_bytes(unparsed) + parsed_head_bytes + taken_body_bytes + body_bytes);
}

std::size_t request_reader::wanted_bytes() const
{
    const auto& parser = *m_implementation->parser;
    if (!parser.is_header_done())
    {
        return read_bytes;
    }
    const auto rest = parser.content_length_remaining();
    return rest ? static_cast<std::size_t>(std::clamp<std::uint64_t>(*rest, 1, body_read_bytes))
                : chunked_read_bytes;
}

bool request_reader::has_started() const
{
    return m_implementation->parser->got_some() || !m_implementation->unparsed.empty();
}

bool request_reader::has_head() const
{
    return m_implementation->parser->is_header_done();
}

bool request_reader::has_bytes_ahead() const
{
    return m_implementation->parser->is_done() && !m_implementation->unparsed.empty();
}

const message_memory::share& request_reader::memory() const
{
    return m_implementation->share;
}

bool request_reader::add_unread(std::size_t bytes)
{
    return m_implementation->share.resize(m_implementation->share.bytes() + bytes);
}

http_request request_reader::head() const
{
    const auto& message = m_implementation->parser->get();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
    {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    return request;
}

http_request request_reader::take()
{
    http_request request = head();
    auto& body = m_implementation->parser->get().body();
    m_implementation->taken_body_bytes = allocated_bytes(body);
    request.body = std::exchange(body, {});
    m_implementation->account();
    return request;
}

void request_reader::release()
{
    implementation& self = *m_implementation;
    self.parsed_head_bytes = 0;
    self.taken_body_bytes = 0;
    self.parser.emplace();
    self.account();
}

void request_reader::reset()
{
    std::string().swap(m_implementation->unparsed);
    release();
}

bool request_reader::keeps_alive() const
{
    return m_implementation->parser->keep_alive();
}

} // namespace flaxtiller::shell
