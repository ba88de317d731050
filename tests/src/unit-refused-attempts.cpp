// Tests of refused attempts that do not use up the attempts that a route allows.

#include "scheduler_driver.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <random>
#include <set>

using namespace flaxtiller;
using namespace flaxtiller::dispatch;
using flaxtiller::test::make_service;
using flaxtiller::test::scheduler_driver;

namespace
{

constexpr int route_attempts = 2;

scheduler_options refusal_options(bool retries_refused = true)
{
    scheduler_options options;
    options.direct = true;
    options.cancel_losers = false;
    options.avoid_stalled = true;
    options.charge_refusals = true;
    options.failure_half_life = duration::from_ms(2000);
    options.retries_refused = retries_refused;
    return options;
}

placed_service replicas(int count)
{
    placed_service placed = make_service(1, count);
    for (backend_server& server : placed.shards[0])
    {
        server.connection_limit = 30;
    }
    return placed;
}

subquery make_request(scheduler_driver& driver, const std::string& designated = {})
{
    subquery request;
    request.id = driver.next++;
    request.deadline = driver.now + duration::from_ms(1000);
    request.most_attempts = route_attempts;
    request.designated = backend_server_name(designated);
    return request;
}

/// @brief What a subquery was sent to.
struct sent_record
{
    std::set<std::string> servers;
    int attempts = 0;
    int maybe_run = 0;
};

/// @brief Ends each attempt of a subquery as @a decide says until the subquery is finished.
template <typename Decide>
sent_record run_to_end(scheduler_driver& driver, subquery_id id, Decide decide)
{
    sent_record record;
    while (driver.finished.count(id) == 0)
    {
        driver.advance_by(1);
        while (!driver.running.empty())
        {
            const start_attempt begun = driver.running.begin()->second;
            const attempt_status status = decide(begun);
            const bool sent = status != attempt_status::unreachable;
            if (sent && begun.subquery == id)
            {
                record.servers.insert(begun.server.str());
                ++record.attempts;
                record.maybe_run += status == attempt_status::shed ? 0 : 1;
            }
            status == attempt_status::answered ? driver.answer(begun.attempt)
                                               : driver.fail(begun.attempt, status);
        }
    }
    return record;
}

} // namespace

// Guards against a bound on servers that miscounts repeated, refused or unsent attempts.
TEST_CASE("the record of sent attempts", "[load][refusals]")
{
    const backend_server_name a("a");
    const backend_server_name b("b");
    const backend_server_name c("c");
    sent_attempts sent;
    sent.add(a);
    sent.add_refusal();

    SECTION("counts a backend server once, however often it was sent to")
    {
        sent.add(a);
        CHECK(sent.may_send_to(b, 2));
        sent.add(b);
        CHECK(sent.may_send_to(a, 2));
        CHECK_FALSE(sent.may_send_to(c, 2));
        CHECK(sent.may_send_to(c, 0));
        CHECK_FALSE(sent.may_send_to(c, 3, a));
        CHECK(sent.may_send_to(a, 3, a));
    }
    SECTION("does not count refused attempts as run, but as sent")
    {
        sent.add(b);
        CHECK(sent.has_attempts_left(2, 4));
        sent.add(b);
        CHECK_FALSE(sent.has_attempts_left(2, 4));
        sent.add_refusal();
        CHECK(sent.has_attempts_left(2, 4));
        CHECK_FALSE(sent.has_attempts_left(2, 3));
    }
    SECTION("forgets an attempt that was not sent, but not an earlier one on the same backend server")
    {
        sent.add(b);
        sent.remove_unsent(b);
        CHECK_FALSE(sent.includes(b));
        CHECK(sent.may_send_to(c, 2));
        sent.add(a);
        sent.remove_unsent(a);
        CHECK(sent.includes(a));
    }
}

// Guards against a shard that is lost because two refusals used up the attempts of its route.
TEST_CASE("a subquery that all its backend servers refuse", "[load][refusals]")
{
    scheduler_driver driver(replicas(3), refusal_options());
    const auto refuse = [](const start_attempt&)
    {
        return attempt_status::shed;
    };

    SECTION("is sent four times, to two backend servers, and reported as not run")
    {
        const subquery_id id = driver.submit(make_request(driver));
        const sent_record record = run_to_end(driver, id, refuse);
        CHECK(record.attempts == scheduler_options{}.most_attempts);
        CHECK(record.servers.size() == 2);
        CHECK(driver.finished.at(id).outcome == outcome::not_run);
        CHECK(driver.finished.at(id).reason == missing_reason::shed);
    }
    SECTION("is sent to the designated one and one other")
    {
        const subquery_id id = driver.submit(make_request(driver, "0b"));
        const sent_record record = run_to_end(driver, id, refuse);
        CHECK(record.attempts == scheduler_options{}.most_attempts);
        CHECK(record.servers.size() == 2);
        CHECK(record.servers.count("0b") == 1);
    }
    SECTION("is sent only to the designated one where another instance may have run it")
    {
        subquery request = make_request(driver, "0b");
        request.again = true;
        const sent_record record = run_to_end(driver, driver.submit(request), refuse);
        CHECK(record.servers == std::set<std::string>{"0b"});
    }
    SECTION("spends from the retry budget for each further attempt")
    {
        driver.scheduler.limit_budget(2.0);
        const subquery_id id = driver.submit(make_request(driver));
        CHECK(run_to_end(driver, id, refuse).attempts == 3);
    }
    SECTION("waits between the second and the third attempt")
    {
        const subquery_id id = driver.submit(make_request(driver));
        const time_point begun = driver.now;
        driver.fail(driver.attempt_of(id).attempt, attempt_status::shed);
        driver.fail(driver.attempt_of(id).attempt, attempt_status::shed);
        REQUIRE(driver.running.empty());
        driver.advance_until(
            [&]
            {
                return !driver.running.empty();
            },
            100);
        CHECK((driver.now - begun).ms() >= 2.0);
    }
}

// Guards against attempts beyond the limit of the route that may have run.
TEST_CASE("a subquery runs on no more backend servers than its route allows after refusals",
          "[load][refusals]")
{
    scheduler_driver driver(replicas(3), refusal_options());
    const subquery_id id = driver.submit(make_request(driver));
    int attempts = 0;
    const sent_record record =
        run_to_end(driver, id,
                   [&](const start_attempt&)
                   {
                       ++attempts;
                       return attempts == 1 ? attempt_status::shed : attempt_status::cut;
                   });
    CHECK(record.attempts == 3);
    CHECK(record.maybe_run == route_attempts);
    CHECK(record.servers.size() == 2);
    CHECK(driver.finished.at(id).outcome == outcome::unknown);
}

// Guards against a change of behaviour while the switch is off.
TEST_CASE("refusals use up the attempts of a route while retries_refused is off", "[load][refusals]")
{
    scheduler_driver driver(replicas(3), refusal_options(false));
    const subquery_id id = driver.submit(make_request(driver));
    const sent_record record = run_to_end(driver, id,
                                          [](const start_attempt&)
                                          {
                                              return attempt_status::shed;
                                          });
    CHECK(record.attempts == route_attempts);
}

// Guards against any mix of refusals, lost connections and changes of the placement in which a subquery is
// sent to more backend servers, or more often, than allowed.
TEST_CASE("the bounds on backend servers and attempts hold for any mix of failures", "[load][refusals]")
{
    const unsigned seed = GENERATE(range(1U, 41U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const std::string designated = seed % 2 == 0 ? "0a" : "";
    scheduler_options options = refusal_options();
    options.eject_after = 1000;
    scheduler_driver driver(replicas(3), options);
    driver.scheduler.limit_budget(1000.0, 10.0);
    const auto decide = [&](const start_attempt&)
    {
        if (std::bernoulli_distribution(0.1)(random))
        {
            placed_service changed = replicas(3);
            changed.shards[0].back().name = backend_server_name("0c" + std::to_string(random()));
            driver.scheduler.configure(changed, 1, driver.now);
        }
        constexpr std::array statuses{attempt_status::shed,        attempt_status::shed,
                                      attempt_status::shed,        attempt_status::unreachable,
                                      attempt_status::unreachable, attempt_status::cut,
                                      attempt_status::answered};
        return statuses.at(std::uniform_int_distribution<std::size_t>(0, statuses.size() - 1)(random));
    };
    for (int i = 0; i < 50; ++i)
    {
        const sent_record record =
            run_to_end(driver, driver.submit(make_request(driver, designated)), decide);
        CHECK(record.servers.size() <= route_attempts);
        CHECK(record.maybe_run <= route_attempts);
        CHECK(record.attempts <= options.most_attempts);
        if (record.servers.size() == 2 && !designated.empty())
        {
            CHECK(record.servers.count(designated) == 1);
        }
    }
}

// Guards against the loss of shards whose three backend servers refuse 60% of their attempts: with two
// attempts 0.36 are lost, with four 0.13. A budget of one attempt per request alone allows 0.4 x 2 = 0.80, so
// the test includes a slack, granted as the router does: half of it at once, the other half over 10 s.
TEST_CASE("a shard whose three backend servers refuse 60% is mostly served", "[load][refusals]")
{
    constexpr double refused_share = 0.6;
    constexpr double slack = 170.0;
    constexpr double window_ms = 10000.0;
    constexpr int requests = 1000;
    scheduler_options options = refusal_options(GENERATE(true, false));
    options.extra_load_share = 1.0;
    // Half of the tokens are available initially.
    options.budget_burst = slack;
    const unsigned seed = GENERATE(1U, 2U, 3U);
    std::mt19937 random(seed);
    scheduler_driver driver(replicas(3), options);
    driver.scheduler.limit_budget(slack / 2, slack / 2 / window_ms);
    const time_point begun = driver.now;
    int served = 0;
    int attempts = 0;
    std::size_t most_servers = 0;
    for (int i = 0; i < requests; ++i)
    {
        const subquery_id id = driver.submit(make_request(driver));
        const sent_record record = run_to_end(driver, id,
                                              [&](const start_attempt&)
                                              {
                                                  return std::bernoulli_distribution(refused_share)(random)
                                                             ? attempt_status::shed
                                                             : attempt_status::answered;
                                              });
        served += driver.finished.at(id).outcome == outcome::run ? 1 : 0;
        attempts += record.attempts;
        most_servers = std::max(most_servers, record.servers.size());
        const time_point next = begun + duration::from_ms(window_ms / requests * (i + 1));
        driver.advance_by(std::max((next - driver.now).ms(), 0.0));
    }
    const double elapsed_ms = (driver.now - begun).ms();
    const double served_share = static_cast<double>(served) / requests;
    CAPTURE(seed, options.retries_refused, served_share, attempts, elapsed_ms);
    CHECK(most_servers <= route_attempts);
    CHECK(attempts - requests <= requests + slack / 2 + slack / 2 * elapsed_ms / window_ms);
    CHECK((served_share >= 0.84) == options.retries_refused);
}
