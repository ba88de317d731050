#include "process/heap_release.hpp"
#include "process/resource_bounds.hpp"

#include <flaxtiller/core/error.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::shell;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

} // namespace

// Guards against messages of many peers that together exceed the memory of the process.
TEST_CASE("message_memory bounds the memory of all messages", "[http]")
{
    message_memory memory({megabyte, 100 * kilobyte, 2 * megabyte});
    message_memory::share first(memory);
    message_memory::share second(memory);

    SECTION("messages fit together up to the bound")
    {
        CHECK(first.resize(megabyte / 2));
        CHECK(second.resize(megabyte / 2));
        CHECK_FALSE(second.resize(megabyte / 2 + 1));
        CHECK(second.resize(megabyte / 2));
    }
    SECTION("a small message always fits")
    {
        REQUIRE(first.resize(megabyte));
        CHECK(second.resize(100 * kilobyte));
        CHECK_FALSE(second.resize(100 * kilobyte + 1));
    }
    SECTION("a message above the bound fits while it is nearly alone, up to a bound of its own")
    {
        REQUIRE(second.resize(50 * kilobyte));
        CHECK(first.resize(2 * megabyte));
        CHECK_FALSE(first.resize(2 * megabyte + 1));
        REQUIRE(first.resize(2 * megabyte));
        CHECK_FALSE(second.resize(500 * kilobyte));
        CHECK_FALSE(first.fits());
    }
    SECTION("what is about to be released counts no longer")
    {
        REQUIRE(first.resize(megabyte));
        CHECK_FALSE(second.resize(megabyte / 2));
        memory.add_leaving(megabyte);
        CHECK(second.fits());
        memory.remove_leaving(megabyte);
        CHECK_FALSE(second.fits());
    }
    SECTION("memory is returned, and its peak is kept until it is taken")
    {
        {
            message_memory::share third(memory);
            CHECK(third.resize(megabyte));
        }
        CHECK(memory.used_bytes() == 0);
        CHECK(memory.take_peak_bytes() == megabyte);
        CHECK(memory.take_peak_bytes() == 0);
    }
}

// Guards against bounds that exceed the memory of a small machine, or that an ordinary caller meets.
TEST_CASE("bounds_of derives all bounds from the limits of the process", "[settings]")
{
    process_limits limits;
    limits.memory_mb = GENERATE(64, 128, 160, 260, 4096);
    limits.descriptors = GENERATE(256, 600, 4100, 20000);
    const resource_bounds bounds = bounds_of(limits);
    const std::size_t memory = limits.memory_bytes();

    SECTION("the messages together leave a part of the memory")
    {
        const std::size_t messages =
            bounds.requests.all_bytes + bounds.replies.all_bytes + bounds.answers.all_bytes;
        CHECK(messages < memory * 3 / 5);
    }
    SECTION("a request that is held three times fits")
    {
        CHECK(3 * bounds.requests.lone_bytes < memory * 3 / 4);
    }
    SECTION("small messages of all callers fit")
    {
        const std::size_t small = bounds.requests.small_bytes + bounds.answers.small_bytes;
        CHECK(bounds.caller_connections * small <= memory / 5);
    }
    SECTION("links, backend servers and files have descriptors beside the callers")
    {
        const auto descriptors = static_cast<std::size_t>(limits.descriptors);
        CHECK(bounds.caller_connections + 3 * bounds.other_connections <= descriptors / 2);
    }
}

// Guards against configurations that end a process, and against a bound that a large deployment's own
// configuration meets.
TEST_CASE("bounds_of leaves room for a configuration", "[settings]")
{
    process_limits limits;
    limits.memory_mb = 160;
    const document_bounds bounds = bounds_of(limits).configuration;
    const auto list_of = [](const nlohmann::json& item, std::size_t count)
    {
        return nlohmann::json(count, item);
    };
    const nlohmann::json service = {
        {"name", "service-1"}, {"healthCheckPath", "/health"}, {"maxConnections", 30}};
    const nlohmann::json fan_out = {{"name", "route-1"},
                                    {"host", "host.example"},
                                    {"pathPrefix", "/some/"},
                                    {"type", "safe"},
                                    {"timeoutMs", 500},
                                    {"priority", 2},
                                    {"targetLatencyMs", 80},
                                    {"maxAttempts", 2},
                                    {"minSuccessShare", 0.75},
                                    {"topK", 5},
                                    {"fanoutServices", list_of("service-1", 20)}};
    const auto check = [&](const nlohmann::json& document)
    {
        return check_document(document.dump(), bounds);
    };

    SECTION("twice the routes and ten times the services of a large deployment fit")
    {
        CHECK_FALSE(check({{"routes", list_of(fan_out, 2800)}, {"services", list_of(service, 1000)}}));
    }
    SECTION("what a process can't hold doesn't fit, however little text states it")
    {
        CHECK(check({{"services", list_of({{"name", "s"}}, 20000)}}) == errc::document_too_large);
        CHECK(check({{"routes", list_of(fan_out, 20000)}}) == errc::document_too_large);
        CHECK(check({{"others", list_of(nullptr, 500000)}}) == errc::document_too_large);
    }
    SECTION("it grows with the memory")
    {
        limits.memory_mb = 320;
        CHECK(bounds_of(limits).configuration.memory_bytes == 2 * bounds.memory_bytes);
    }
}

// Guards against a process without a stated limit that takes no callers.
TEST_CASE("bounds_of follows the system where no limit is stated", "[settings]")
{
    CHECK(bounds_of(process_limits{}).caller_connections > 100);
}

// Guards against memory that the allocator keeps for good after many large messages, and against giving it
// back again and again.
TEST_CASE("heap_release is due once messages have gone", "[settings]")
{
    heap_release release(10 * megabyte);

    SECTION("not for few messages")
    {
        CHECK_FALSE(release.is_due(9 * megabyte, 0));
    }
    SECTION("not while they are there")
    {
        CHECK_FALSE(release.is_due(20 * megabyte, 20 * megabyte));
        CHECK_FALSE(release.is_due(20 * megabyte, 6 * megabyte));
    }
    SECTION("once, after they have gone")
    {
        CHECK_FALSE(release.is_due(20 * megabyte, 20 * megabyte));
        CHECK(release.is_due(0, megabyte));
        CHECK_FALSE(release.is_due(megabyte, 0));
    }
}
