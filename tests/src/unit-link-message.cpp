#include "shell/compression.hpp"
#include "shell/link_message.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::shell;

namespace
{

/// @return the message after it was encoded and decoded
template <typename Message>
Message received(const Message& sent)
{
    const auto decoded = decode(encode(sent));
    REQUIRE(decoded);
    REQUIRE(std::holds_alternative<Message>(*decoded));
    return std::get<Message>(*decoded);
}

} // namespace

TEST_CASE("messages of routed requests are unchanged by encoding and decoding", "[link]")
{
    SECTION("a delegated request whose body is not valid UTF-8")
    {
        routed_ask asked;
        asked.number = 7;
        asked.request.id = "r";
        asked.request.method = "GET";
        asked.request.host = "h";
        asked.request.target = "/a/?b";
        asked.request.headers = {{"X-A", "1"}, {"X-A", "2"}};
        asked.request.body = std::string("\x00\xff\x80", 3);
        asked.request.patience = duration::from_ms(1.5);
        asked.request.asked_list = ~std::uint64_t{0};
        asked.request.asked_shards = {1, 2};
        asked.request.designated = {backend_server_name("b1"), backend_server_name("b2")};
        asked.request.progress_within = duration::from_ms(0.25);
        asked.request.asked_again = true;
        asked.request.answer_within = duration::from_ms(0.5);
        const routed_ask got = received(asked);
        CHECK(got.number == 7);
        CHECK(got.request == asked.request);
    }
    SECTION("the outcome of a delegated request, with a result that is not valid UTF-8")
    {
        routed_return returned;
        returned.number = 7;
        returned.outcome.end = routed_end::merged;
        returned.outcome.merged = std::string("\xfe\x00\x01", 3);
        returned.outcome.signatures = {"a", "b"};
        returned.outcome.missing = 1;
        returned.outcome.missing_shards = {3};
        returned.outcome.is_progress = true;
        returned.outcome.reason = missing_reason::late;
        returned.outcome.retry_after = duration::from_ms(20);
        returned.outcome.attempts = 4;
        returned.outcome.took = duration::from_ms(31);
        const routed_outcome got = received(returned).outcome;
        CHECK(got.end == returned.outcome.end);
        CHECK(got.merged == returned.outcome.merged);
        CHECK(got.signatures == returned.outcome.signatures);
        CHECK(got.missing == 1);
        CHECK(got.missing_shards == returned.outcome.missing_shards);
        CHECK(got.is_progress);
        CHECK(got.reason == missing_reason::late);
        CHECK(got.retry_after == returned.outcome.retry_after);
        CHECK(got.attempts == 4);
        CHECK(got.took == returned.outcome.took);
    }
    SECTION("the end of a delegation")
    {
        CHECK(received(routed_abandon{9}).number == 9);
    }
}

TEST_CASE("messages of registrations and members are unchanged by encoding and decoding", "[link]")
{
    SECTION("registrations of backend servers")
    {
        registration_update update;
        update.whole = true;
        registration said;
        said.id = backend_server_name("i-1");
        said.service = service_name("s");
        said.address = "10.0.0.1:80";
        said.availability_zone = "z";
        said.software = "v1";
        said.slots = 4;
        said.state = registration_state::draining;
        said.warmup_left = duration::from_ms(300);
        said.sequence = 12;
        update.items = {said};
        const registration_update got = received(update);
        CHECK(got.whole);
        CHECK(got.items == update.items);
        CHECK(received(registration_heard{{{said.id, 5, 7}}}).items.at(0) == sign_of_life{said.id, 5, 7});
        CHECK(received(registration_digest{~std::uint64_t{0}}).digest == ~std::uint64_t{0});
    }
    SECTION("processes")
    {
        CHECK(received(control_members{{"a:1", "b:2"}}).names.size() == 2);
        const entry_list list{true, {{instance_name("e"), "r", "z", "10.0.0.1:7"}}, {instance_name("f")}};
        CHECK(received(list).items == list.items);
        CHECK(received(member_request{"catalog", "add", "c"}).action == "add");
        CHECK(received(hello{link_protocol_version, "entry", "e", 5, "r", "z", "a:1"}).zone == "z");
    }
}

TEST_CASE("large messages are compressed", "[link]")
{
    registration_update sent;
    for (int i = 0; i < 1362; ++i)
    {
        registration item;
        item.id = backend_server_name("i-" + std::to_string(1000000 + i * 7919));
        item.service = service_name("service-" + std::to_string(i / 3));
        item.address = "10.1.2." + std::to_string(i % 250) + ":8080";
        item.availability_zone = "dub-hall";
        item.software = "v1";
        sent.items.push_back(item);
    }
    const std::string bytes = encode(sent);
    // The compressed message has 15 kB; plain CBOR has 174 kB.
    CHECK(bytes.size() < 20000);

    SECTION("a compressed message is unchanged by encoding and decoding")
    {
        CHECK(received(sent).items == sent.items);
    }
    SECTION("a truncated, corrupted or extended message is refused")
    {
        for (const std::size_t kept : {std::size_t{1}, std::size_t{2}, bytes.size() / 2, bytes.size() - 1})
        {
            CHECK_FALSE(decode(bytes.substr(0, kept)));
        }
        std::string bent = bytes;
        bent[bent.size() / 2] = static_cast<char>(bent[bent.size() / 2] ^ 0x55);
        CHECK_FALSE(decode(bent));
        CHECK_FALSE(decode(bytes + "x"));
    }
    SECTION("decompression beyond the size limit is refused")
    {
        const std::string packed = compress(std::string(1000000, 'x'));
        CHECK(decompress(packed, 1000001));
        CHECK_FALSE(decompress(packed, 999999));
    }
    SECTION("a compressed message within a compressed one is refused")
    {
        CHECK_FALSE(decode(compress(bytes)));
    }
    SECTION("a small message is not compressed")
    {
        CHECK_FALSE(is_compressed(encode(heartbeat{})));
    }
}
