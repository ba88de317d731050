#include "entry/routed_http_codec.hpp"

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

TEST_CASE("header fields are looked up, filtered and replaced by name", "[http]")
{
    http_fields fields(
        {{"Host", "h"}, {"X-A", "1"}, {"x-a", "2"}, {"Connection", "keep-alive, X-Hop"}, {"X-Hop", "3"}});
    SECTION("names are case-insensitive, and the first value is returned")
    {
        CHECK(fields.value("x-A") == "1");
        CHECK(fields.find("X-B") == nullptr);
    }
    SECTION("headers that concern a single connection aren't forwarded")
    {
        fields.add("Transfer-Encoding", "chunked");
        fields.add("Keep-Alive", "timeout=5");
        CHECK(fields.end_to_end() == header_list{{"Host", "h"}, {"X-A", "1"}, {"x-a", "2"}});
    }
    SECTION("set replaces all values of a name, and remove removes them")
    {
        fields.set("X-A", "4");
        CHECK(fields.value("X-A") == "4");
        fields.remove("X-A");
        CHECK(fields.find("X-A") == nullptr);
    }
}

TEST_CASE("a routed request is forwarded to a backend server", "[http]")
{
    const routed_http_codec codec{routed_header_names{}};

    SECTION("the request is unchanged except for deadline and expected server")
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
        // The answer must state both once.
        CHECK(sent.id_header == "X-Request-Id");
        CHECK(sent.signature_header == "X-Signature");
    }
    SECTION("a request without an id or with a malformed deadline is refused")
    {
        CHECK_FALSE(codec.read_request(request_with({{"Host", "h"}})));
        for (const char* deadline : {"", "-1", "soon", "1e99", "12x"})
        {
            CHECK_FALSE(
                codec.read_request(request_with({{"X-Request-Id", "r"}, {"X-Deadline-Ms", deadline}})));
        }
    }
}

TEST_CASE("the reply of a backend server determines the result of the attempt", "[http]")
{
    const routed_http_codec codec{routed_header_names{}};
    const auto status_of = [&](int status, header_list headers, bool part = false)
    {
        return codec.read_reply(reply_with(status, std::move(headers)), part).result.status;
    };

    SECTION("a signed success is an answer, and an unsigned success is dropped")
    {
        CHECK(status_of(200, {{"X-Signature", "s"}}) == attempt_status::answered);
        const routed_reply unsigned_one = codec.read_reply(reply_with(200, {}), false);
        CHECK(unsigned_one.result.status == attempt_status::cut);
        CHECK_FALSE(unsigned_one.answer);
    }
    SECTION("a request counts as not run only if the backend server confirms it")
    {
        CHECK(status_of(503, {{"X-Not-Run", "true"}}) == attempt_status::shed);
        CHECK(status_of(421, {}) == attempt_status::leaving);
        CHECK(status_of(503, {}) == attempt_status::cut);
        CHECK(status_of(429, {}, true) == attempt_status::cut);
    }
    SECTION("a failure is kept for the caller, but isn't a part of a merged answer")
    {
        const routed_reply failed = codec.read_reply(reply_with(500, {{"X-Signature", "s"}}), false);
        CHECK(failed.result.status == attempt_status::cut);
        REQUIRE(failed.answer);
        CHECK(failed.answer->status == 500);
        CHECK(status_of(404, {}, true) == attempt_status::cut);
        CHECK(status_of(404, {}, false) == attempt_status::answered);
    }
    SECTION("Retry-After is read as seconds")
    {
        const auto read =
            codec.read_reply(reply_with(503, {{"X-Not-Run", "1"}, {"Retry-After", "0.25"}}), false);
        CHECK(read.result.retry_after == duration::from_ms(250));
    }
    SECTION("a load report is read from answers and refusals, and a malformed one loses nothing else")
    {
        const auto answer =
            codec.read_reply(reply_with(200, {{"X-Signature", "s"}, {"X-Load", "2,1,2"}}), true);
        REQUIRE(answer.result.load);
        CHECK(answer.result.load->waiting == 1);
        const auto refusal =
            codec.read_reply(reply_with(503, {{"X-Not-Run", "1"}, {"X-Load", "2,9,2,130"}}), true);
        REQUIRE(refusal.result.load);
        CHECK(refusal.result.load->slowdown == 1.3);
        const auto malformed =
            codec.read_reply(reply_with(200, {{"X-Signature", "s"}, {"X-Load", "2,-1,2"}}), true);
        CHECK(malformed.has_malformed_load);
        CHECK_FALSE(malformed.result.load);
        CHECK(malformed.result.status == attempt_status::answered);
    }
    SECTION("the load of a server other than the one asked is ignored")
    {
        CHECK_FALSE(codec.read_reply(reply_with(421, {{"X-Load", "2,1,2"}}), true).result.load);
    }
    SECTION("each end without a reply maps to a result")
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

TEST_CASE("the final answer is written as an HTTP reply", "[http]")
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
    SECTION("a refusal has Retry-After, and a request that may have run isn't reported as refused")
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
