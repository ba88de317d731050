#include <flaxtiller/dispatch/load_report.hpp>
#include <flaxtiller/routing/processing_delay.hpp>

#include <catch2/catch.hpp>

namespace flaxtiller
{

using dispatch::load_report;
using dispatch::parse_load_report;

TEST_CASE("a malformed load report is ignored as a whole", "[load]")
{
    SECTION("three figures")
    {
        CHECK(parse_load_report("3,0,8") == load_report{3, 0, 8, 1.0});
        CHECK(parse_load_report(" 3 , 0 ,\t8 ") == load_report{3, 0, 8, 1.0});
    }

    SECTION("the fourth figure is the time that work takes, in percent")
    {
        CHECK(parse_load_report("2,1,2,130") == load_report{2, 1, 2, 1.3});
    }

    SECTION("missing, surplus or empty figures")
    {
        for (const char* text :
             {"", ",", "3", "3,0", "3,0,", ",0,8", "3,,8", "3,0,8,", "3,0,8,100,1", "3,0,8,100,"})
        {
            CAPTURE(text);
            CHECK_FALSE(parse_load_report(text));
        }
    }

    SECTION("figures that are negative, huge, zero or not numeric")
    {
        for (const char* text :
             {"-1,0,8", "3,-2,8", "3,0,-8", "3,0,0", "3,0,8,0", "3,0,8,-100", "1000001,0,8",
              "3,0,99999999999999999999", "x,0,8", "3,0x1,8", "3,0,8.5", "3;0;8", "+3,0,8", "nan,0,8"})
        {
            CAPTURE(text);
            CHECK_FALSE(parse_load_report(text));
        }
    }
}

TEST_CASE("the processing delay follows several late observations, not one", "[load]")
{
    processing_delay delay;
    time_point now;

    SECTION("one very late observation, as after a suspension, has little influence")
    {
        delay.observe(duration::from_ms(10'000), now);
        CHECK(delay.at(now) <= processing_delay::max_counted * processing_delay::weight);
    }

    SECTION("a busy process is recognized, and the average decays once it is idle")
    {
        for (int i = 0; i < 20; ++i)
        {
            now = now + duration::from_ms(10);
            delay.observe(duration::from_ms(40), now);
        }
        CHECK(delay.at(now) > duration::from_ms(30));
        CHECK(delay.at(now) <= duration::from_ms(40));
        CHECK(delay.at(now + duration::from_ms(5'000)) < duration::from_ms(1));
    }

    SECTION("a clock that seems to run backwards does not raise the average")
    {
        delay.observe(duration::from_ms(40), now + duration::from_ms(100));
        CHECK(delay.at(now) <= duration::from_ms(40));
        delay.observe(duration::from_ms(-5), now);
        CHECK(delay.at(now) >= duration{});
    }
}

} // namespace flaxtiller
