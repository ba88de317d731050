#include "reply_reader.hpp"

#include "http_grammar.hpp"
#include "reply_framing.hpp"
#include "reply_head.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace flaxtiller::shell
{

namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

/// The interim heads and the head together, a line between two chunks, or a trailer must fit. Its bytes are
/// kept until its end arrives.
constexpr std::size_t most_unparsed_bytes = std::size_t{16} << 10U;
/// The size of one read. The reply of one shard, headers and body, usually fits.
constexpr std::size_t read_bytes = 4096;

} // namespace

struct reply_reader::implementation
{
    explicit implementation(message_memory& from) : memory(from), share(from)
    {
    }

    state fail(reply_fault with);
    state read_head();
    state read_lines();
    state end_head();
    state read_body();
    state check_trailer(const char* end);
    state await_more();
    std::string_view next_line() const;
    reply_fault check_line(std::string_view line) const;

    message_memory& memory;
    message_memory::share share;
    beast::flat_buffer buffer;
    std::vector<std::string_view> single_fields;
    reply_fault fault = reply_fault::none;
    reply_head head;
    /// The bytes of the head at the front of the buffer whose lines were read.
    std::size_t head_bytes = 0;
    /// The bytes of the interim heads before it.
    std::size_t interim_bytes = 0;
    std::optional<reply_framing> framing;
};

reply_reader::reply_reader(message_memory& memory)
    : m_implementation(std::make_unique<implementation>(memory))
{
}

reply_reader::~reply_reader() = default;

void reply_reader::begin(std::vector<std::string_view> single_fields)
{
    implementation& self = *m_implementation;
    self.buffer.clear();
    self.single_fields = std::move(single_fields);
    self.fault = reply_fault::none;
    self.head = {};
    self.head_bytes = 0;
    self.interim_bytes = 0;
    self.framing.emplace();
    self.framing->body_limit(self.memory.bounds().lone_bytes);
    self.framing->header_limit(most_unparsed_bytes + read_bytes);
    self.framing->eager(true);
    (void)self.share.resize(0);
}

boost::asio::mutable_buffer reply_reader::space()
{
    return m_implementation->buffer.prepare(read_bytes);
}

reply_reader::state reply_reader::arrived(std::size_t bytes)
{
    implementation& self = *m_implementation;
    self.buffer.commit(bytes);
    if (!self.head.is_complete())
    {
        const state head_state = self.read_head();
        if (head_state != state::complete)
        {
            return head_state == state::needs_more ? self.await_more() : head_state;
        }
    }
    return self.read_body();
}

reply_reader::state reply_reader::implementation::fail(reply_fault with)
{
    fault = with;
    return state::malformed;
}

/// @return `complete` once the head of the actual reply is complete
reply_reader::state reply_reader::implementation::read_head()
{
    for (;;)
    {
        const state lines_state = read_lines();
        if (lines_state != state::complete || !head.is_interim())
        {
            return lines_state;
        }
        buffer.consume(head_bytes);
        interim_bytes += std::exchange(head_bytes, 0);
        head = {};
    }
}

/// Reads lines up to the end of a head.
reply_reader::state reply_reader::implementation::read_lines()
{
    while (!head.is_complete())
    {
        const std::string_view line = next_line();
        reply_fault found = check_line(line);
        if (found == reply_fault::none)
        {
            if (!line.ends_with('\n'))
            {
                return state::needs_more;
            }
            found = head.add_line(line.substr(0, line.size() - line_end.size()));
        }
        if (found != reply_fault::none)
        {
            return fail(found);
        }
        head_bytes += line.size();
    }
    return end_head();
}

/// @return the next line with its end, or what has arrived of it
std::string_view reply_reader::implementation::next_line() const
{
    const auto bytes = buffer.data();
    std::string_view line(static_cast<const char*>(bytes.data()), bytes.size());
    line.remove_prefix(head_bytes);
    const auto end = line.find('\n');
    return end == std::string_view::npos ? line : line.substr(0, end + 1);
}

/// @return what is wrong with a line beside its text
reply_fault reply_reader::implementation::check_line(std::string_view line) const
{
    if (interim_bytes + head_bytes + line.size() > most_unparsed_bytes)
    {
        return reply_fault::too_large;
    }
    const bool is_first = head_bytes == 0;
    const bool has_wrong_end = line.ends_with('\n') && !line.ends_with(line_end);
    if (is_first && (has_wrong_end || !reply_head::may_begin_with(line)))
    {
        return reply_fault::status_line;
    }
    return has_wrong_end ? reply_fault::field : reply_fault::none;
}

reply_reader::state reply_reader::implementation::end_head()
{
    const bool is_repeated = std::any_of(single_fields.begin(), single_fields.end(),
                                         [this](std::string_view name)
                                         {
                                             return head.fields().count(name) > 1;
                                         });
    return is_repeated && !head.is_interim() ? fail(reply_fault::repeated_field) : state::complete;
}

/// Boost.Beast parses the head again, as `Content-Length` and `Transfer-Encoding` determine the end of the
/// body.
reply_reader::state reply_reader::implementation::read_body()
{
    while (!framing->is_done() && buffer.size() > 0)
    {
        beast::error_code failed;
        const auto bytes = buffer.data();
        const std::size_t used = framing->put(bytes, failed);
        if (framing->is_done() &&
            check_trailer(static_cast<const char*>(bytes.data()) + used) == state::malformed)
        {
            return state::malformed;
        }
        buffer.consume(used);
        if (failed == http::error::need_more)
        {
            break;
        }
        if (failed)
        {
            return fail(failed == http::error::body_limit ? reply_fault::too_large : reply_fault::framing);
        }
    }
    return framing->is_done() ? state::complete : await_more();
}

/// @return `needs_more`, unless what has arrived takes too much memory
reply_reader::state reply_reader::implementation::await_more()
{
    const bool fits = share.resize(framing->body().size() + buffer.size());
    return fits && buffer.size() <= most_unparsed_bytes ? state::needs_more : fail(reply_fault::too_large);
}

/// @param end the end of the reply, and so of its trailer
reply_reader::state reply_reader::implementation::check_trailer(const char* end)
{
    const char* begin = framing->trailer_begin();
    if (begin == nullptr)
    {
        return state::complete;
    }
    const std::string_view lines(begin, static_cast<std::size_t>(end - begin));
    return are_field_lines(lines) ? state::complete : fail(reply_fault::field);
}

reply_reader::state reply_reader::ended()
{
    implementation& self = *m_implementation;
    if (!self.framing->got_some())
    {
        return state::malformed;
    }
    beast::error_code failed;
    self.framing->put_eof(failed);
    return !failed && self.framing->is_done() ? state::complete : state::malformed;
}

reply_fault reply_reader::fault() const noexcept
{
    return m_implementation->fault;
}

void reply_reader::take(http_exchange_result& into)
{
    implementation& self = *m_implementation;
    into.status = self.head.status();
    into.headers = self.head.take_fields();
    into.body = std::move(self.framing->body());
    (void)self.share.resize(0);
}

bool reply_reader::is_reusable() const
{
    return m_implementation->framing->keep_alive() && m_implementation->buffer.size() == 0;
}

} // namespace flaxtiller::shell
