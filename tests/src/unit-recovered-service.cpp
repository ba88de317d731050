#include "scheduler_driver.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace flaxtiller;
using namespace flaxtiller::test;
using dispatch::attempt_status;

namespace
{

/// How a service was slow, and what it is asked for.
struct history
{
    int replicas = 2;
    int slots = 2;
    double sound_ms = 5;
    double slow_ms = 1500;
    double slow_for_ms = 6000;
    /// How much later each further replica is sound.
    double staggered_ms = 0;
    double interval_while_slow_ms = 1000;
    double interval_after_ms = 500;
    double deadline_while_slow_ms = 2000;
    double deadline_after_ms = 1000;
    /// Attempts before it became slow; none for a new entry.
    int attempts_before = 50;
};

struct outcome_counts
{
    int attempts_past_deadline = 0;
    int asked_after_recovery = 0;
    int overloaded_after_recovery = 0;
    double longest_retry_after_ms = 0;
};

/// Plays a service whose backend servers are slow and then sound again.
class play
{
  public:
    play(const history& played, unsigned seed)
        : m_history(played), m_random(seed), m_driver(service_of(played))
    {
    }

    outcome_counts run()
    {
        m_driver.record_latencies(m_history.attempts_before, m_history.sound_ms);
        m_slow_from = m_driver.now;
        const time_point sound_at =
            m_slow_from +
            duration::from_ms(m_history.slow_for_ms + m_history.staggered_ms * m_history.replicas);
        ask_until(sound_at, m_history.interval_while_slow_ms, m_history.deadline_while_slow_ms, nullptr);
        // The time in which it may still recover.
        const time_point recovered_at = sound_at + duration::from_ms(5000);
        ask_until(recovered_at, m_history.interval_after_ms, m_history.deadline_after_ms, nullptr);
        ask_until(recovered_at + duration::from_ms(10000), m_history.interval_after_ms,
                  m_history.deadline_after_ms, &m_counts);
        return m_counts;
    }

  private:
    static placed_service service_of(const history& played)
    {
        return make_service(1, played.replicas, played.slots);
    }

    /// @return the work of an attempt that starts now on the backend server
    double work_ms(const std::string& server)
    {
        const int replica = server.back() - 'a';
        const time_point sound_at =
            m_slow_from + duration::from_ms(m_history.slow_for_ms + m_history.staggered_ms * (replica + 1));
        const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(m_random);
        return jitter * (m_driver.now < sound_at ? m_history.slow_ms : m_history.sound_ms);
    }

    void ask_until(time_point until, double interval_ms, double deadline_ms, outcome_counts* counted)
    {
        time_point next_at = m_driver.now;
        while (m_driver.now < until)
        {
            if (m_driver.now >= next_at)
            {
                next_at = m_driver.now + duration::from_ms(interval_ms);
                const bool is_idle = m_driver.running.empty();
                const auto id = m_driver.submit(0, deadline_ms);
                if (counted != nullptr && is_idle)
                {
                    m_counted.push_back(id);
                    ++counted->asked_after_recovery;
                }
                begin_work();
            }
            m_driver.advance_by(1);
            begin_work();
            end_work(counted);
        }
    }

    void begin_work()
    {
        for (const auto& [attempt, begun] : m_driver.running)
        {
            if (m_ends.count(attempt) == 0)
            {
                m_ends[attempt] = m_driver.now + duration::from_ms(work_ms(begun.server.str()));
            }
        }
    }

    void end_work(outcome_counts* counted)
    {
        for (const dispatch::attempt_id attempt : std::exchange(m_driver.cancelled, {}))
        {
            if (m_driver.running.count(attempt) > 0)
            {
                ++m_counts.attempts_past_deadline;
                m_driver.fail(attempt, attempt_status::cancelled);
            }
        }
        begin_work();
        std::vector<dispatch::attempt_id> due;
        for (const auto& [attempt, begun] : m_driver.running)
        {
            if (m_ends.at(attempt) <= m_driver.now)
            {
                due.push_back(attempt);
            }
        }
        for (const dispatch::attempt_id attempt : due)
        {
            m_driver.answer(attempt);
        }
        begin_work();
        for (const auto& [id, result] : std::exchange(m_driver.finished, {}))
        {
            const bool is_counted = std::find(m_counted.begin(), m_counted.end(), id) != m_counted.end();
            if (counted != nullptr && is_counted && result.reason == missing_reason::overloaded)
            {
                ++counted->overloaded_after_recovery;
                counted->longest_retry_after_ms =
                    std::max(counted->longest_retry_after_ms, result.retry_after.ms());
            }
        }
    }

    history m_history;
    std::mt19937 m_random;
    scheduler_driver m_driver;
    time_point m_slow_from;
    std::map<dispatch::attempt_id, time_point> m_ends;
    std::vector<dispatch::subquery_id> m_counted;
    outcome_counts m_counts;
};

history drawn(unsigned seed)
{
    std::mt19937 random(seed);
    const auto between = [&](double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random);
    };
    history played;
    played.replicas = 1 + static_cast<int>(random() % 4);
    played.slots = 1 + static_cast<int>(random() % 4);
    played.sound_ms = between(2, 50);
    played.slow_ms = played.sound_ms * between(3, 300);
    played.slow_for_ms = between(500, 20000);
    played.staggered_ms = random() % 2 == 0 ? 0.0 : between(0, 3000);
    played.interval_while_slow_ms = between(10, 2000);
    played.interval_after_ms = played.sound_ms * 1.3 + between(10, 1000);
    played.deadline_while_slow_ms = between(100, 5000);
    played.deadline_after_ms = played.sound_ms * between(3, 50);
    played.attempts_before = random() % 3 == 0 ? 0 : static_cast<int>(random() % 300);
    return played;
}

} // namespace

// Guards against an estimate that decides whether attempts begin and that only attempts renew: a service that
// was slow is refused for good although it is idle and sound.
TEST_CASE("a service that was slow is served again once it is sound", "[dispatch]")
{
    history played;

    SECTION("slow for 6 s, one request a second")
    {
        const outcome_counts counts = play(played, 1).run();
        CHECK(counts.asked_after_recovery >= 15);
        CHECK(counts.overloaded_after_recovery == 0);
    }
    SECTION("slow for 8 s, ten requests a second, short deadlines")
    {
        played.slow_ms = 1000;
        played.slow_for_ms = 8000;
        played.interval_while_slow_ms = 100;
        played.deadline_after_ms = 500;
        CHECK(play(played, 1).run().overloaded_after_recovery == 0);
    }
    SECTION("the replicas recover one by one")
    {
        played.staggered_ms = 2000;
        CHECK(play(played, 1).run().overloaded_after_recovery == 0);
    }
    SECTION("the entry is new")
    {
        played.attempts_before = 0;
        CHECK(play(played, 1).run().overloaded_after_recovery == 0);
    }
    SECTION("after drawn histories")
    {
        constexpr unsigned seeds = 40;
        for (unsigned seed = 1; seed <= seeds; ++seed)
        {
            const history of_seed = drawn(seed);
            CAPTURE(seed, of_seed.sound_ms, of_seed.slow_ms, of_seed.slow_for_ms, of_seed.deadline_after_ms,
                    of_seed.interval_after_ms);
            CHECK(play(of_seed, seed).run().overloaded_after_recovery == 0);
        }
    }
}

// By hand: the same over many drawn histories, and how many attempts end past their deadline.
TEST_CASE("services that were slow, over many drawn histories", "[.][recovered]")
{
    constexpr unsigned seeds = 600;
    int failing = 0;
    int refused = 0;
    int wasted = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        const outcome_counts counts = play(drawn(seed), seed).run();
        failing += counts.overloaded_after_recovery > 0 ? 1 : 0;
        refused += counts.overloaded_after_recovery;
        wasted += counts.attempts_past_deadline;
    }
    WARN("histories with refusals: " << failing << " of " << seeds << "; refusals: " << refused
                                     << "; attempts past their deadline: " << wasted);
    CHECK(failing == 0);
}
