#include "team_view.hpp"

#include <flaxtiller/routing/caller_admission.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace flaxtiller;
using namespace flaxtiller::test;

namespace
{

const team_name by_team("t");

/// Admits the requests of one team without routes of its own; the test plays the rate limit coordinator.
class admission_driver
{
  public:
    explicit admission_driver(const load_options& load) : m_admission(load)
    {
        team by;
        by.name = by_team;
        by.limit = {10.0, 1.0};
        by.keys = {"key"};
        shared_map<team_name, team> teams;
        const std::string secret = generate_key_secret();
        teams.insert_or_assign(by.name, by.without_keys(secret));
        m_admission.configure(view_of_teams(teams, secret, 85));
    }

    void arrive(time_point now)
    {
        routed_request request;
        request.host = "h";
        request.target = "/x";
        request.patience = duration::from_ms(5000);
        m_admission.arrive(++m_number, request, "key", now);
        collect(now);
    }

    void advance(time_point now)
    {
        m_admission.on_time(now);
        collect(now);
    }

    void set_limited(duration exhausted_for, time_point now)
    {
        m_admission.on_limit_update({0, {}, {{by_team, true, exhausted_for}}}, now);
        collect(now);
    }

    /// Times after which refused requests may return, in ms.
    std::vector<double> told_ms;

  private:
    void collect(time_point now)
    {
        for (const admission_action& action : m_admission.take_actions(now))
        {
            if (const auto* refused = std::get_if<reject_request>(&action))
            {
                CHECK(refused->over_limit->retry_after == refused->outcome.retry_after);
                told_ms.push_back(refused->outcome.retry_after.ms());
            }
        }
    }

    caller_admission m_admission;
    request_number m_number = 0;
};

load_options spreading()
{
    load_options load;
    load.spreads_returns = true;
    return load;
}

} // namespace

// Guards against callers that are refused together and return together.
TEST_CASE("refused requests of a team get times spaced by the rate of its limit", "[teams][returns]")
{
    retry_schedule schedule;
    const rate_limit limit{10.0, 1.0};
    const duration earliest = duration::from_ms(300);

    SECTION("successive times, none before the limit has room")
    {
        for (int i = 0; i < 5; ++i)
        {
            CHECK(schedule.assign(by_team, limit, earliest, at_ms(0)).ms() == Approx(300.0 + 100.0 * i));
        }
        // An assigned time stays assigned, and another team has times of its own.
        CHECK(schedule.assign(by_team, limit, earliest, at_ms(200)).ms() == Approx(600.0));
        CHECK(schedule.assign(team_name("other"), limit, earliest, at_ms(200)).ms() == Approx(300.0));
    }
    SECTION("more than there are times for until the longest one are spread over them")
    {
        constexpr int refused = 500;
        std::vector<double> told;
        for (int i = 0; i < refused; ++i)
        {
            told.push_back(schedule.assign(by_team, limit, earliest, at_ms(0)).ms());
        }
        CHECK(*std::min_element(told.begin(), told.end()) >= earliest.ms());
        CHECK(*std::max_element(told.begin(), told.end()) <= retry_schedule::max_retry_after.ms());
        std::map<int, int> in_second;
        for (const double ms : told)
        {
            ++in_second[static_cast<int>(ms / 1000.0)];
        }
        for (int second = 1; second < 9; ++second)
        {
            CHECK(in_second[second] <= 1.5 * refused / 10.0);
        }
        CHECK(std::set<double>(told.begin(), told.end()).size() == told.size());
    }
    SECTION("a limit without room until later than the longest time is told as it is")
    {
        const duration later = duration::from_ms(15000);
        CHECK(schedule.assign(by_team, limit, later, at_ms(0)) >= later);
    }
    SECTION("nothing is kept of a team whose times have passed")
    {
        schedule.assign(by_team, limit, earliest, at_ms(0));
        schedule.discard_passed(at_ms(1000));
        CHECK(schedule.size() == 0);
    }
}

// Guards against equal times where the entry itself refuses, and against a change while the switch is off.
TEST_CASE("requests that an entry refuses itself get different times", "[teams][returns]")
{
    constexpr double interval_ms = 100.0;
    const bool spreads = GENERATE(true, false);
    admission_driver driver(spreads ? spreading() : load_options{});

    SECTION("the team has used up its limit")
    {
        driver.set_limited(duration::from_ms(400), at_ms(0));
        for (int i = 0; i < 4; ++i)
        {
            driver.arrive(at_ms(0));
        }
        REQUIRE(driver.told_ms.size() == 4);
        for (std::size_t i = 0; i < driver.told_ms.size(); ++i)
        {
            const double shift = spreads ? interval_ms * static_cast<double>(i) : 0.0;
            CHECK(driver.told_ms[i] == Approx(400.0 + shift));
        }
    }
    SECTION("the coordinator doesn't answer")
    {
        for (int i = 0; i < 4; ++i)
        {
            driver.arrive(at_ms(5000));
        }
        driver.advance(at_ms(5000) + rate_limiter::answer_timeout);
        REQUIRE(driver.told_ms.size() >= 3);
        const std::set<double> different(driver.told_ms.begin(), driver.told_ms.end());
        CHECK(different.size() == (spreads ? driver.told_ms.size() : 1));
    }
}
