#include "http/connection_table.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::shell;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t small_bytes = 32 * kilobyte;
const time_point start(duration::from_ms(100000));

time_point at(double ms)
{
    return start + duration::from_ms(ms);
}

std::shared_ptr<tracked_connection> add(connection_table& table, connection_phase phase, time_point now,
                                        int* stops = nullptr)
{
    auto connection = std::make_shared<tracked_connection>(now,
                                                           [stops]
                                                           {
                                                               *stops += stops != nullptr ? 1 : 0;
                                                           });
    connection->enter(phase, now);
    table.add(connection);
    return connection;
}

} // namespace

// Guards against a crowd of idle connections that keeps ordinary callers out, and against requests that are
// cut although they may have run.
TEST_CASE("evict_for_descriptor chooses who gives way to a new connection", "[http]")
{
    using phase = connection_phase;
    const time_point now = at(1000);

    SECTION("nobody while all requests are being answered")
    {
        CHECK_FALSE(evict_for_descriptor({}, now));
        CHECK_FALSE(evict_for_descriptor({{phase::answering, at(0), 0}, {phase::evicted, at(0), 0}}, now));
    }
    SECTION("the one without progress for the longest time")
    {
        CHECK(evict_for_descriptor(
                  {{phase::idle, at(500), 0}, {phase::reading, at(10), 0}, {phase::idle, at(20), 0}}, now) ==
              1U);
    }
    SECTION("one that was refused already, before all others")
    {
        CHECK(evict_for_descriptor({{phase::idle, at(0), 0}, {phase::closing, at(900), 0}}, now) == 1U);
    }
    SECTION("one whose answer isn't read, if no other waits")
    {
        CHECK(evict_for_descriptor({{phase::writing, at(0), 0}, {phase::idle, at(900), 0}}, now) == 1U);
        CHECK(evict_for_descriptor({{phase::answering, at(0), 0}, {phase::writing, at(100), 0}}, now) == 1U);
    }
    SECTION("not one whose answer has just been written")
    {
        CHECK_FALSE(evict_for_descriptor({{phase::writing, at(990), 0}}, now));
    }
}

// Guards against callers that stop short and keep the memory from those that make progress.
TEST_CASE("evict_for_memory chooses who gives way to a message", "[http]")
{
    using phase = connection_phase;
    const time_point now = at(1000);
    const std::size_t large = 100 * kilobyte;

    SECTION("the one without progress for the longest time")
    {
        CHECK(evict_for_memory({{phase::reading, at(600), large}, {phase::reading, at(100), large}},
                               phase::reading, small_bytes, now) == 1U);
    }
    SECTION("none that makes progress")
    {
        CHECK_FALSE(evict_for_memory({{phase::reading, at(900), large}}, phase::reading, small_bytes, now));
    }
    SECTION("an answer also if its caller has had little time to read it")
    {
        CHECK(evict_for_memory({{phase::writing, at(998), large}, {phase::writing, at(997), large}},
                               phase::writing, small_bytes, now) == 1U);
    }
    SECTION("no small request")
    {
        CHECK_FALSE(
            evict_for_memory({{phase::reading, at(0), small_bytes}}, phase::reading, small_bytes, now));
    }
    SECTION("none in another phase")
    {
        CHECK_FALSE(evict_for_memory({{phase::answering, at(0), large}, {phase::writing, at(0), large}},
                                     phase::reading, small_bytes, now));
        CHECK(evict_for_memory({{phase::answering, at(0), large}, {phase::writing, at(0), large}},
                               phase::writing, small_bytes, now) == 1U);
    }
}

// Guards against a connection that is evicted while its request is handed over, or stopped twice.
TEST_CASE("tracked_connection is evicted once, and only in the phase that was seen", "[http]")
{
    int stops = 0;
    connection_table table;
    const auto connection = add(table, connection_phase::reading, start, &stops);

    SECTION("it can't go on once it is evicted")
    {
        CHECK(connection->evict(connection_phase::reading));
        CHECK_FALSE(connection->evict(connection_phase::reading));
        CHECK_FALSE(connection->enter(connection_phase::answering, start));
        CHECK(connection->is_evicted());
        CHECK(stops == 1);
    }
    SECTION("it isn't evicted after its request was handed over")
    {
        CHECK(connection->enter(connection_phase::answering, start));
        CHECK_FALSE(connection->evict(connection_phase::reading));
        CHECK(stops == 0);
    }
}

// Guards against more connections than the process has descriptors.
TEST_CASE("connection_table makes room for a connection", "[http]")
{
    int stops = 0;
    connection_table table;
    const auto first = add(table, connection_phase::idle, at(0), &stops);
    const auto second = add(table, connection_phase::idle, at(1), &stops);
    REQUIRE(table.size() == 2);

    SECTION("one gives way at a time")
    {
        CHECK(table.make_room_for_connection(at(2)));
        CHECK(first->is_evicted());
        CHECK_FALSE(second->is_evicted());
        CHECK(table.evicted() == 1);
        table.remove(first);
        CHECK(table.size() == 1);
    }
    SECTION("none, once all are about to close")
    {
        CHECK(table.make_room_for_connection(at(2)));
        CHECK(table.make_room_for_connection(at(2)));
        CHECK_FALSE(table.make_room_for_connection(at(2)));
        CHECK(stops == 2);
    }
    SECTION("while many are still to close, new ones are refused")
    {
        constexpr int many = 200;
        for (int i = 0; i < many; ++i)
        {
            add(table, connection_phase::idle, at(3), &stops);
        }
        int made = 0;
        while (table.make_room_for_connection(at(4)))
        {
            ++made;
        }
        CHECK(made < many / 2);
        CHECK(made == stops);
    }
}

// Guards against evicting more callers than a message needs, and against messages that get no memory from
// those that stand still.
TEST_CASE("connection_table makes room for a message", "[http]")
{
    int stops = 0;
    connection_table table;
    message_memory memory({300 * kilobyte, small_bytes, 400 * kilobyte});
    std::vector<std::shared_ptr<tracked_connection>> connections;
    std::vector<std::unique_ptr<message_memory::share>> held;
    for (int i = 0; i < 3; ++i)
    {
        connections.push_back(add(table, connection_phase::reading, at(i), &stops));
        held.push_back(std::make_unique<message_memory::share>(memory));
        REQUIRE(held.back()->resize(100 * kilobyte));
        connections.back()->set_held_bytes(100 * kilobyte);
    }
    message_memory::share wanted(memory);

    SECTION("as many give way as are needed, the oldest first")
    {
        REQUIRE_FALSE(wanted.resize(150 * kilobyte));
        CHECK(table.make_room_for_message(wanted, connection_phase::reading, at(1000)));
        CHECK(connections[0]->is_evicted());
        CHECK(connections[1]->is_evicted());
        CHECK_FALSE(connections[2]->is_evicted());
        CHECK(wanted.fits());
        // What they announced is subtracted once, also after they have released it.
        held[0].reset();
        held[1].reset();
        table.remove(connections[0]);
        table.remove(connections[1]);
        CHECK(memory.used_bytes() == 250 * kilobyte);
    }
    SECTION("a message above the memory for all fits once it is alone")
    {
        REQUIRE_FALSE(wanted.resize(350 * kilobyte));
        CHECK(table.make_room_for_message(wanted, connection_phase::reading, at(1000)));
        CHECK(stops == 3);
        CHECK(wanted.fits());
    }
    SECTION("nobody who makes progress gives way")
    {
        REQUIRE_FALSE(wanted.resize(100 * kilobyte));
        CHECK_FALSE(table.make_room_for_message(wanted, connection_phase::reading, at(100)));
        CHECK(stops == 0);
    }
}
