#include <flaxtiller/registration/heartbeat_admission.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;

namespace
{

constexpr std::size_t three = 3;
constexpr duration bound = heartbeat_admission::isolated_until_refused;
constexpr duration tick = duration::from_ms(1);

} // namespace

// Guards against heartbeats that are confirmed and reach no entry: the backend server calls no other replica.
TEST_CASE("a replica that can pass heartbeats on to nobody refuses them", "[registration]")
{
    const time_point start(duration::from_ms(1000));
    heartbeat_admission admission;

    SECTION("after a start it waits for its first links")
    {
        CHECK(admission.accepts(start));
        admission.set_contact(three, 0, start);
        CHECK(admission.accepts(start + bound - tick));
        CHECK_FALSE(admission.accepts(start + bound));
        admission.set_contact(three, 1, start + bound);
        CHECK(admission.accepts(start + bound));
    }
    SECTION("contact with one process is enough, however long")
    {
        admission.set_contact(three, 1, start);
        CHECK(admission.accepts(start + duration::from_ms(60000)));
    }
    SECTION("when it loses the last contact")
    {
        admission.set_contact(three, 1, start);
        const time_point lost_at = start + duration::from_ms(5000);
        admission.set_contact(three, 0, lost_at);
        // Later calls don't begin the time anew.
        admission.set_contact(three, 0, lost_at + bound - tick);
        CHECK(admission.accepts(lost_at + bound - tick));
        CHECK_FALSE(admission.accepts(lost_at + bound));
        SECTION("until it has contact again")
        {
            admission.set_contact(three, 2, lost_at + bound);
            CHECK(admission.accepts(lost_at + bound));
            admission.set_contact(three, 0, lost_at + bound + tick);
            CHECK(admission.accepts(lost_at + bound + tick));
        }
    }
    SECTION("but a single replica depends on nobody")
    {
        admission.set_contact(1, 0, start);
        CHECK(admission.accepts(start + duration::from_ms(60000)));
        // A replica without members yet waits for the others of its set.
        admission.set_contact(three, 0, start + bound);
        CHECK_FALSE(admission.accepts(start + bound + bound));
    }
}
