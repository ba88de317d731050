#include "shell/routed_http_codec.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::shell;
using dispatch::attempt_status;

namespace
{

http_request request_with(header_list headers)
{
    http_request request;
    request.method = "POST";
    request.target = "/a/b?c=d";
    request.body = "body";
    request.headers = http_fields(std::move(headers));
    return request;
}

http_exchange_result reply_with(int status, header_list headers)
{
    http_exchange_result reply;
    reply.end = exchange_end::replied;
    reply.status = status;
    reply.headers = http_fields(std::move(headers));
    reply.body = "bytes";
    return reply;
}

} // namespace

TEST_CASE("header fields", "[http]")
{
    http_fields fields(
        {{"Host", "h"}, {"X-A", "1"}, {"x-a", "2"}, {"Connection", "keep-alive, X-Hop"}, {"X-Hop", "3"}});
    SECTION("names have no case, and the first value counts")
    {
        CHECK(fields.value("x-A") == "1");
        CHECK(fields.find("X-B") == nullptr);
    }
    SECTION("what concerns one connection isn't passed on")
    {
        fields.add("Transfer-Encoding", "chunked");
        fields.add("Keep-Alive", "timeout=5");
        CHECK(fields.end_to_end() == header_list{{"Host", "h"}, {"X-A", "1"}, {"x-a", "2"}});
    }
    SECTION("set takes the place of all")
    {
        fields.set("X-A", "4");
        CHECK(fields.value("X-A") == "4");
        fields.remove("X-A");
        CHECK(fields.find("X-A") == nullptr);
    }
}

TEST_CASE("a routed request on its way", "[http]")
{
    const routed_http_codec codec{routed_header_names{}};

    SECTION("goes on unchanged but for deadline and expected server")
    {
        const auto read = codec.read_request(request_with({{"Host", "h"},
                                                           {"X-Request-Id", "r1"},
                                                           {"X-Deadline-Ms", "250"},
                                                           {"X-Expect-Server", "forged"},
                                                           {"X-Other", "kept"}}));
        REQUIRE(read);
        CHECK(read->patience == duration::from_ms(250));
        start_routed_attempt attempt;
        attempt.attempt = 7;
        attempt.server = backend_server_name("i-1");
        attempt.sent = std::make_shared<const routed_request>(*read);
        const http_exchange sent = codec.write_attempt(attempt, duration::from_ms(200.7));
        CHECK(sent.method == "POST");
        CHECK(sent.target == "/a/b?c=d");
        CHECK(sent.body == "body");
        CHECK(sent.headers.items() == header_list{{"Host", "h"},
                                                  {"X-Request-Id", "r1"},
                                                  {"X-Other", "kept"},
                                                  {"X-Deadline-Ms", "200"},
                                                  {"X-Expect-Server", "i-1"}});
    }
    SECTION("without an id or with an unreadable deadline it is refused")
    {
        CHECK_FALSE(codec.read_request(request_with({{"Host", "h"}})));
        for (const char* deadline : {"", "-1", "soon", "1e99", "12x"})
        {
            CHECK_FALSE(
                codec.read_request(request_with({{"X-Request-Id", "r"}, {"X-Deadline-Ms", deadline}})));
        }
    }
}

TEST_CASE("what a backend server's reply means", "[http]")
{
    const routed_http_codec codec{routed_header_names{}};
    const auto status_of = [&](int status, header_list headers, bool part = false)
    {
        return codec.read_reply(reply_with(status, std::move(headers)), part).result.status;
    };

    SECTION("a signed success is an answer, an unsigned one is nobody's word")
    {
        CHECK(status_of(200, {{"X-Signature", "s"}}) == attempt_status::answered);
        const routed_reply unsigned_one = codec.read_reply(reply_with(200, {}), false);
        CHECK(unsigned_one.result.status == attempt_status::cut);
        CHECK_FALSE(unsigned_one.answer);
    }
    SECTION("only a promise means not run")
    {
        CHECK(status_of(503, {{"X-Not-Run", "true"}}) == attempt_status::shed);
        CHECK(status_of(421, {}) == attempt_status::leaving);
        CHECK(status_of(503, {}) == attempt_status::cut);
        CHECK(status_of(429, {}, true) == attempt_status::cut);
    }
    SECTION("a failure is kept to be passed on, but is no part")
    {
        const routed_reply failed = codec.read_reply(reply_with(500, {{"X-Signature", "s"}}), false);
        CHECK(failed.result.status == attempt_status::cut);
        REQUIRE(failed.answer);
        CHECK(failed.answer->status == 500);
        CHECK(status_of(404, {}, true) == attempt_status::cut);
        CHECK(status_of(404, {}, false) == attempt_status::answered);
    }
    SECTION("Retry-After is heeded")
    {
        const auto read =
            codec.read_reply(reply_with(503, {{"X-Not-Run", "1"}, {"Retry-After", "0.25"}}), false);
        CHECK(read.result.retry_after == duration::from_ms(250));
    }
    SECTION("ends without a reply")
    {
        http_exchange_result none;
        for (const auto& [end, status] : {std::pair(exchange_end::unreachable, attempt_status::unreachable),
                                          std::pair(exchange_end::cut, attempt_status::cut),
                                          std::pair(exchange_end::hung_up, attempt_status::cut),
                                          std::pair(exchange_end::foreign, attempt_status::cut),
                                          std::pair(exchange_end::closed, attempt_status::cancelled)})
        {
            none.end = end;
            CHECK(codec.read_reply(none, true).result.status == status);
        }
    }
}

TEST_CASE("the final answer over HTTP", "[http]")
{
    const routed_http_codec codec{routed_header_names{}};
    routed_outcome outcome;

    SECTION("merged")
    {
        outcome.end = routed_end::merged;
        outcome.merged = "records";
        outcome.signatures = {"a", "b"};
        outcome.missing = 1;
        const http_reply reply = codec.write_answer(outcome);
        CHECK(reply.status == 200);
        CHECK(reply.headers.value("X-Part-Signatures") == "a, b");
        CHECK(reply.headers.value("X-Missing-Parts") == "1");
    }
    SECTION("refused says when to come back; what may have run never says refused")
    {
        outcome.end = routed_end::refused;
        outcome.retry_after = duration::from_ms(150);
        CHECK(codec.write_answer(outcome).status == 503);
        CHECK(codec.write_answer(outcome).headers.value("Retry-After") == "0.150");
        outcome.end = routed_end::failed;
        CHECK(codec.write_answer(outcome).status == 502);
        outcome.end = routed_end::late;
        CHECK(codec.write_answer(outcome).status == 504);
        outcome.end = routed_end::no_route;
        CHECK(codec.write_answer(outcome).status == 404);
    }
}
