#include "http/request_reader.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>

using namespace flaxtiller;
using namespace flaxtiller::shell;

namespace
{

using state = request_reader::state;

constexpr std::size_t megabyte = std::size_t{1} << 20U;
constexpr std::size_t small_bytes = std::size_t{32} << 10U;
constexpr request_size_limits limits{std::size_t{4} << 10U, std::size_t{64} << 10U};
constexpr message_memory_bounds bounds{megabyte, small_bytes, 2 * megabyte};

const std::string with_length =
    "POST /one HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nContent-Length: 5\r\n\r\nhello";
const std::string chunked = "POST /one HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nX-Trailer: t\r\n\r\n";

/// Passes the bytes in pieces of a size until the request ends.
state feed(request_reader& reader, std::string_view bytes, std::size_t piece)
{
    state now = state::needs_more;
    while (now == state::needs_more && !bytes.empty())
    {
        now = reader.arrived(bytes.substr(0, piece));
        bytes.remove_prefix(std::min(piece, bytes.size()));
    }
    return now;
}

struct refusal
{
    state end = state::needs_more;
    std::size_t bytes = 0;
    std::size_t most_held = 0;
};

/// Passes a beginning, then a filler again and again until the reader refuses, or takes far more than it may.
refusal feed_without_end(request_reader& reader, const std::string& beginning, const std::string& filler)
{
    constexpr std::size_t far_more = 8 * megabyte;
    refusal found{reader.arrived(beginning), beginning.size(), 0};
    while (found.end == state::needs_more && found.bytes < far_more)
    {
        found.end = reader.arrived(filler);
        found.bytes += filler.size();
        found.most_held = std::max(found.most_held, reader.memory().bytes());
    }
    return found;
}

} // namespace

// Guards against requests that are read differently depending on how the network cuts them.
TEST_CASE("request_reader reads a request however it is cut", "[http]")
{
    message_memory memory(bounds);
    request_reader reader(memory);
    const std::string& message = GENERATE(with_length, chunked);
    CAPTURE(message);

    SECTION("in pieces of each size")
    {
        for (std::size_t piece = 1; piece <= message.size(); ++piece)
        {
            REQUIRE(reader.begin(limits) == state::needs_more);
            REQUIRE(feed(reader, message, piece) == state::complete);
            const http_request request = reader.take();
            CHECK(request.method == "POST");
            CHECK(request.target == "/one");
            CHECK(request.headers.value("X-Request-Id") == "7");
            CHECK(request.body == "hello");
            CHECK(reader.keeps_alive());
            reader.release();
        }
    }
    SECTION("cut at each byte, of which no beginning is complete")
    {
        for (std::size_t cut = 1; cut < message.size(); ++cut)
        {
            request_reader first(memory);
            (void)first.begin(limits);
            REQUIRE(first.arrived(message.substr(0, cut)) == state::needs_more);
            CHECK(first.has_started());
            REQUIRE(first.arrived(message.substr(cut)) == state::complete);
            CHECK(first.take().body == "hello");
        }
    }
    SECTION("with the next requests behind it")
    {
        (void)reader.begin(limits);
        REQUIRE(reader.arrived(message + message + message.substr(0, 3)) == state::complete);
        CHECK(reader.has_bytes_ahead());
        CHECK(reader.take().body == "hello");
        reader.release();
        REQUIRE(reader.begin(limits) == state::complete);
        CHECK(reader.take().body == "hello");
        reader.release();
        REQUIRE(reader.begin(limits) == state::needs_more);
        CHECK(reader.has_started());
        CHECK(reader.arrived(message.substr(3)) == state::complete);
    }
}

// Guards against a caller that sends bytes without end, and so takes the memory of the process.
TEST_CASE("request_reader refuses a request without end", "[http]")
{
    message_memory memory(bounds);
    request_reader reader(memory);
    (void)reader.begin(limits);
    const std::string head = "POST /one HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1000, 'a');
    // The limit of a line, the piece that exceeds it, and what its buffer grows by.
    const std::size_t most_held = 3 * limits.header_bytes + limits.body_bytes;

    SECTION("in a head")
    {
        const refusal found = feed_without_end(reader, "GET / HTTP/1.1\r\nX: ", filler);
        CHECK(found.end == state::header_too_large);
        CHECK(found.bytes <= limits.header_bytes + 2 * filler.size());
    }
    SECTION("in place of a head")
    {
        CHECK(feed_without_end(reader, "G", filler).bytes <= limits.header_bytes + 2 * filler.size());
    }
    SECTION("in the line before a chunk")
    {
        const refusal found = feed_without_end(reader, head + "5;x=", filler);
        CHECK(found.end == state::header_too_large);
        CHECK(found.most_held <= most_held);
    }
    SECTION("in a field of a trailer")
    {
        const refusal found = feed_without_end(reader, head + "0\r\nX: ", filler);
        CHECK(found.end == state::header_too_large);
        CHECK(found.most_held <= most_held);
    }
    SECTION("in a trailer of many fields")
    {
        const refusal found = feed_without_end(reader, head + "0\r\n", "X: " + filler + "\r\n");
        CHECK(found.end == state::header_too_large);
        CHECK(found.most_held <= most_held);
    }
    SECTION("in chunks")
    {
        const refusal found = feed_without_end(reader, head, "3e8\r\n" + filler + "\r\n");
        CHECK(found.end == state::body_too_large);
        CHECK(found.bytes <= limits.body_bytes + 100 * filler.size());
    }
    SECTION("by its length, before the first byte of its body")
    {
        CHECK(reader.arrived("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n") == state::body_too_large);
        CHECK(reader.memory().bytes() < small_bytes);
    }
    SECTION("by the largest length")
    {
        CHECK(reader.arrived("POST / HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n") ==
              state::body_too_large);
    }
    reader.reset();
    CHECK(memory.used_bytes() == 0);
}

// Guards against memory that is held and not counted, so that many requests take more than they may.
TEST_CASE("request_reader accounts for what it holds", "[http]")
{
    message_memory memory(bounds);
    request_reader reader(memory);
    (void)reader.begin(limits);

    SECTION("a body of known length counts from its head on")
    {
        REQUIRE(reader.arrived("POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n") == state::needs_more);
        CHECK(memory.used_bytes() >= 60000);
    }
    SECTION("a body counts until the request is released")
    {
        const std::string body(60000, 'b');
        REQUIRE(reader.arrived("POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + body) == state::complete);
        const http_request request = reader.take();
        CHECK(request.body == body);
        CHECK(memory.used_bytes() >= 60000);
        reader.release();
        CHECK(memory.used_bytes() == 0);
    }
    SECTION("a head of many small fields counts for more than its bytes")
    {
        std::string head = "GET / HTTP/1.1\r\n";
        constexpr std::size_t fields = 500;
        for (std::size_t i = 0; i < fields; ++i)
        {
            head += "a:b\r\n";
        }
        REQUIRE(reader.arrived(head + "Content-Length: 1\r\n\r\n") == state::needs_more);
        constexpr std::size_t pointers_of_a_field = 64;
        CHECK(memory.used_bytes() >= fields * pointers_of_a_field);
    }
    SECTION("unread bytes count until the request is released")
    {
        REQUIRE(reader.arrived(with_length) == state::complete);
        CHECK(reader.add_unread(1000));
        CHECK(memory.used_bytes() >= 1000);
        CHECK_FALSE(reader.add_unread(2 * megabyte));
        reader.release();
        CHECK(memory.used_bytes() == 0);
    }
    SECTION("a request that is given up counts no longer")
    {
        {
            request_reader other(memory);
            (void)other.begin(limits);
            (void)other.arrived("POST / HTTP/1.1\r\nContent-Length: 60000\r\n\r\nabc");
        }
        CHECK(memory.used_bytes() == 0);
    }
}

// Guards against input that makes the reader crash, take what it may not, or keep memory.
TEST_CASE("request_reader survives drawn input", "[http]")
{
    message_memory memory(bounds);
    const std::vector<std::string> parts{"POST / HTTP/1.1\r\n",
                                         "GET /x HTTP/1.1\r\n\r\n",
                                         "Content-Length: 30\r\n",
                                         "Transfer-Encoding: chunked\r\n",
                                         "a: b\r\n",
                                         "\r\n",
                                         "\r",
                                         "\n",
                                         "0\r\n",
                                         "5\r\nhello\r\n",
                                         "ffffffffffffffff\r\n",
                                         "1;x=",
                                         std::string(300, 'z'),
                                         std::string("\0\xff", 2),
                                         "HTTP/1.1",
                                         ": "};
    constexpr unsigned seeds = 2000;
    constexpr int parts_per_seed = 40;
    // Beside the message: one piece, and what a buffer grows by.
    constexpr std::size_t most_held = 64 * 1024 + 2 * 64 * 1024;
    for (unsigned seed = 0; seed < seeds; ++seed)
    {
        CAPTURE(seed);
        std::mt19937 draw(seed);
        request_reader reader(memory);
        state now = reader.begin(limits);
        for (int i = 0; i < parts_per_seed && (now == state::needs_more || now == state::complete); ++i)
        {
            if (now == state::complete)
            {
                CHECK(reader.take().body.size() <= limits.body_bytes);
                reader.release();
                now = reader.begin(limits);
                continue;
            }
            const std::string& part = parts[draw() % parts.size()];
            now = reader.arrived(part.substr(0, 1 + draw() % part.size()));
            REQUIRE(reader.memory().bytes() <= most_held);
        }
        reader.reset();
        REQUIRE(memory.used_bytes() == 0);
    }
}
