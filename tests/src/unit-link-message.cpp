#include "links/compression.hpp"
#include "links/link_message.hpp"

#include <flaxtiller/routing/routed_json.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::shell;

namespace
{

/// @return the message after it was encoded and decoded
template <typename Message>
Message encode_and_decode(const Message& sent)
{
    const auto decoded = decode(encode(sent));
    REQUIRE(decoded);
    REQUIRE(std::holds_alternative<Message>(*decoded));
    return std::get<Message>(*decoded);
}

} // namespace

/// The length of an outcome's array without the optional elements, as older processes write and read it.
constexpr std::size_t outcome_elements_without_delay = 9;
/// The numbers of keys that older processes write and read.
constexpr std::size_t update_keys_without_request = 3;
constexpr std::size_t heard_keys_without_answer = 1;
/// The length of a request's array without the optional elements, as older processes write and read it.
constexpr std::size_t request_elements_without_rules = 15;

TEST_CASE("messages of routed requests are unchanged by encoding and decoding", "[link]")
{
    SECTION("a handshake, with the deployment and as older processes send it")
    {
        hello greeting;
        greeting.name = "a";
        CHECK_FALSE(encode_and_decode(greeting).deployment);
        greeting.deployment = deployment_id();
        CHECK(encode_and_decode(greeting).deployment == deployment_id());
        greeting.deployment = deployment_id::of_secret("secret");
        CHECK(encode_and_decode(greeting).deployment == deployment_id::of_secret("secret"));
        CHECK(greeting.deployment->is_foreign_to(deployment_id::of_secret("other")));
        CHECK_FALSE(greeting.deployment->is_foreign_to(deployment_id()));
        CHECK(greeting.deployment->str().find("secret") == std::string::npos);
        CHECK_FALSE(deployment_id::of_secret("").is_known());
    }
    SECTION("a handshake, with the sender's memory and as older processes send it")
    {
        hello greeting;
        greeting.memory_mb = 160;
        CHECK(encode_and_decode(greeting).memory_mb == 160);
        nlohmann::json older = nlohmann::json::from_cbor(encode(greeting));
        REQUIRE(older.at("v").erase("memory_mb") == 1);
        std::string bytes;
        nlohmann::json::to_cbor(older, bytes);
        const auto read = decode(bytes);
        REQUIRE(read);
        CHECK(std::get<hello>(*read).memory_mb == 0);
    }
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
        asked.request.delegated_list = ~std::uint64_t{0};
        asked.request.delegated_shards = {1, 2};
        asked.request.designated = {backend_server_name("b1"), backend_server_name("b2")};
        asked.request.progress_within = duration::from_ms(0.25);
        asked.request.is_repeated_delegation = true;
        asked.request.answer_within = duration::from_ms(0.5);
        asked.request.delegated_rules = execution_rules{50, 2, true};
        const routed_ask decoded_message = encode_and_decode(asked);
        CHECK(decoded_message.number == 7);
        CHECK(decoded_message.request == asked.request);
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
        const routed_outcome decoded_message = encode_and_decode(returned).outcome;
        CHECK(decoded_message.end == returned.outcome.end);
        CHECK(decoded_message.merged == returned.outcome.merged);
        CHECK(decoded_message.signatures == returned.outcome.signatures);
        CHECK(decoded_message.missing == 1);
        CHECK(decoded_message.missing_shards == returned.outcome.missing_shards);
        CHECK(decoded_message.is_progress);
        CHECK(decoded_message.reason == missing_reason::late);
        CHECK(decoded_message.retry_after == returned.outcome.retry_after);
        CHECK(decoded_message.attempts == 4);
        CHECK(decoded_message.took == returned.outcome.took);
    }
    SECTION("the delay of a runner is optional, so that processes of both builds understand each other")
    {
        routed_return returned;
        returned.outcome.took = duration::from_ms(31);
        CHECK(nlohmann::json(returned.outcome).size() == outcome_elements_without_delay);
        returned.outcome.runner_delay = duration::from_ms(12.5);
        const routed_outcome decoded_message = encode_and_decode(returned).outcome;
        CHECK(decoded_message.runner_delay == returned.outcome.runner_delay);
        CHECK(decoded_message.crashes.empty());
        CHECK(decoded_message.took == returned.outcome.took);
    }
    SECTION("the rules of a delegated request are optional, so that processes of both builds understand each "
            "other")
    {
        routed_request asked;
        asked.delegated_list = 1;
        const nlohmann::json older = asked;
        CHECK(older.size() == request_elements_without_rules);
        CHECK_FALSE(older.get<routed_request>().delegated_rules);
        asked.delegated_rules = execution_rules{7, 3, true};
        nlohmann::json newer = asked;
        CHECK(newer.get<routed_request>() == asked);
        newer.erase(request_elements_without_rules);
        CHECK(newer == older);
    }
    SECTION("the end of a delegation")
    {
        CHECK(encode_and_decode(routed_abandon{9}).number == 9);
    }
}

TEST_CASE("messages of registrations and members are unchanged by encoding and decoding", "[link]")
{
    SECTION("registrations of backend servers")
    {
        registration_update update;
        update.whole = true;
        registration sent_registration;
        sent_registration.id = backend_server_name("i-1");
        sent_registration.service = service_name("s");
        sent_registration.address = "10.0.0.1:80";
        sent_registration.availability_zone = "z";
        sent_registration.software = "v1";
        sent_registration.slots = 4;
        sent_registration.state = registration_state::draining;
        sent_registration.warmup_left = duration::from_ms(300);
        sent_registration.sequence = 12;
        update.items = {sent_registration};
        const registration_update decoded_message = encode_and_decode(update);
        CHECK(decoded_message.whole);
        CHECK(decoded_message.items == update.items);
        CHECK(encode_and_decode(registration_heard{{{sent_registration.id, 5, 7}}}).items.at(0) ==
              heartbeat_receipt{sent_registration.id, 5, 7});
        const heartbeat_receipt with_status{sent_registration.id, 5, 7, ~std::uint32_t{0}};
        CHECK(encode_and_decode(registration_heard{{with_status}}).items.at(0) == with_status);
        CHECK(encode_and_decode(registration_digest{~std::uint64_t{0}}).digest == ~std::uint64_t{0});
    }
    SECTION(
        "requests to save registrations are optional, so that replicas of both builds understand each other")
    {
        const auto keys_of = [](const link_message& message)
        {
            return nlohmann::json::from_cbor(encode(message)).at("v").size();
        };
        registration_update update;
        CHECK_FALSE(encode_and_decode(update).confirm);
        CHECK(keys_of(update) == update_keys_without_request);
        update.confirm = ~std::uint64_t{0};
        CHECK(encode_and_decode(update).confirm == update.confirm);
        CHECK(keys_of(update) == update_keys_without_request + 1);
        registration_heard heard;
        CHECK(keys_of(heard) == heard_keys_without_answer);
        heard.saved = {5, 7};
        CHECK(encode_and_decode(heard).saved == heard.saved);
    }
    SECTION("processes")
    {
        CHECK(encode_and_decode(control_members{{"a:1", "b:2"}}).names.size() == 2);
        const entry_list list{true, {{instance_name("e"), "r", "z", "10.0.0.1:7"}}, {instance_name("f")}};
        CHECK(encode_and_decode(list).items == list.items);
        CHECK(encode_and_decode(member_request{"catalog", "add", "c"}).action == "add");
        CHECK(encode_and_decode(hello{link_protocol_version, "entry", "e", 5, "r", "z", "a:1"}).zone == "z");
    }
}

TEST_CASE("a heartbeat reports that nothing arrives", "[link]")
{
    const auto received = [](const heartbeat& sent)
    {
        return std::get<heartbeat>(decode(encode(sent)).value()).received_nothing_for;
    };
    CHECK(received(heartbeat{}) == duration{});
    CHECK(received(heartbeat{duration::from_ms(1250.5)}) == duration::from_ms(1250.5));
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
        CHECK(encode_and_decode(sent).items == sent.items);
    }
    SECTION("a truncated, corrupted or extended message is refused")
    {
        for (const std::size_t truncated_size :
             {std::size_t{1}, std::size_t{2}, bytes.size() / 2, bytes.size() - 1})
        {
            CHECK_FALSE(decode(bytes.substr(0, truncated_size)));
        }
        std::string corrupted_bytes = bytes;
        corrupted_bytes[corrupted_bytes.size() / 2] =
            static_cast<char>(corrupted_bytes[corrupted_bytes.size() / 2] ^ 0x55);
        CHECK_FALSE(decode(corrupted_bytes));
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

TEST_CASE("the search for control replicas is unchanged by encoding and decoding", "[link]")
{
    CHECK(encode_and_decode(control_members_request{~std::uint64_t{0}}).number == ~std::uint64_t{0});
    const auto reply = encode_and_decode(control_members_reply{7, {"10.0.0.1:7", "10.0.0.2:7"}, "proof"});
    CHECK(reply.number == 7);
    CHECK(reply.names == std::vector<std::string>{"10.0.0.1:7", "10.0.0.2:7"});
    CHECK(reply.proof == "proof");
}
