#include <flaxtiller/registration/registry.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;

namespace
{

registration said_by(const std::string& id, std::int64_t sequence,
                     registration_state state = registration_state::ready)
{
    registration said;
    said.id = backend_server_name(id);
    said.service = service_name("s");
    said.address = "10.0.0.1:80";
    said.state = state;
    said.sequence = sequence;
    return said;
}

constexpr duration silence = duration::from_ms(8000);

} // namespace

TEST_CASE("backend servers that register themselves", "[registration]")
{
    registry known;
    time_point now(duration::from_ms(1000));
    REQUIRE(known.on_heartbeat(said_by("a", 1), now));
    REQUIRE(known.take_changes().size() == 1);

    SECTION("only what changes is told on")
    {
        CHECK_FALSE(known.on_heartbeat(said_by("a", 2), now));
        CHECK(known.take_changes().empty());
        CHECK(known.on_heartbeat(said_by("a", 3, registration_state::draining), now));
        CHECK(known.take_changes().size() == 1);
    }
    SECTION("a late heartbeat doesn't undo a newer word")
    {
        known.on_heartbeat(said_by("a", 5, registration_state::draining), now);
        CHECK_FALSE(known.on_heartbeat(said_by("a", 4), now));
        CHECK_FALSE(known.merge(said_by("a", 2), now));
        CHECK(known.present().at(0).state == registration_state::draining);
    }
    SECTION("what an earlier life knew counts until it should have been heard again")
    {
        const duration age = duration::from_ms(3000);
        registry restarted;
        CHECK(restarted.restore({said_by("a", 5), said_by("b", 5), said_by("c", 5, registration_state::lost)},
                                now) == 2);
        CHECK(restarted.present().size() == 2);
        CHECK(restarted.has_unconfirmed());
        SECTION("its next heartbeat confirms it, and the other one is lost")
        {
            restarted.on_heartbeat(said_by("a", 6), now);
            now = now + age + duration::from_ms(1);
            CHECK(restarted.drop_unconfirmed(age, now));
            REQUIRE(restarted.present().size() == 1);
            CHECK(restarted.present()[0].id == backend_server_name("a"));
            CHECK_FALSE(restarted.has_unconfirmed());
            CHECK(restarted.on_heartbeat(said_by("b", 7), now));
        }
        SECTION("so does another process that heard it")
        {
            restarted.on_heard({{backend_server_name("a"), 6}, {backend_server_name("b"), 5}}, now);
            now = now + age + duration::from_ms(1);
            CHECK(restarted.drop_unconfirmed(age, now));
            CHECK(restarted.present().size() == 1);
        }
        SECTION("a process that didn't restart knows which still live")
        {
            CHECK(restarted.drop_unconfirmed(std::vector{said_by("a", 5)}));
            CHECK(restarted.present().size() == 1);
            CHECK(restarted.has_unconfirmed());
        }
        SECTION("one that left meanwhile isn't brought back")
        {
            registry knows;
            knows.on_leave(backend_server_name("a"), now);
            CHECK(knows.restore({said_by("a", 5)}, now) == 0);
            CHECK(knows.present().empty());
        }
    }
    SECTION("gone is final, also before the first heartbeat arrived")
    {
        CHECK(known.on_leave(backend_server_name("a"), now));
        CHECK_FALSE(known.on_heartbeat(said_by("a", 9), now));
        known.on_leave(backend_server_name("b"), now);
        CHECK_FALSE(known.on_heartbeat(said_by("b", 1), now));
        CHECK(known.present().empty());
    }
    SECTION("silent ones are lost, heard ones aren't, and a heartbeat brings them back")
    {
        known.on_heartbeat(said_by("b", 1), now);
        now = now + silence;
        known.on_heard({{backend_server_name("b"), 7}}, now);
        now = now + duration::from_ms(1);
        CHECK(known.expire(silence, now));
        REQUIRE(known.present().size() == 1);
        CHECK(known.present()[0].id.str() == "b");
        CHECK(known.on_heartbeat(said_by("a", 9), now));
        CHECK(known.present().size() == 2);
    }
    SECTION("two processes agree after they told one another, in any order")
    {
        registry other;
        known.on_heartbeat(said_by("b", 1), now);
        other.on_heartbeat(said_by("c", 1), now);
        other.on_heartbeat(said_by("a", 4, registration_state::draining), now);
        CHECK(known.digest() != other.digest());
        for (const registration& item : known.all())
        {
            other.merge(item, now);
        }
        for (const registration& item : other.all())
        {
            known.merge(item, now);
        }
        CHECK(known.digest() == other.digest());
        CHECK(known.present().size() == 3);
    }
    SECTION("what a settled process doesn't have is lost here, unless it is fresh")
    {
        known.on_heartbeat(said_by("b", 1), now);
        now = now + duration::from_ms(3000);
        known.on_heartbeat(said_by("c", 1), now);
        CHECK(known.keep_only({said_by("b", 1)}, now));
        REQUIRE(known.present().size() == 2);
        CHECK(known.present()[0].id.str() == "b");
        CHECK(known.present()[1].id.str() == "c");
    }
}
