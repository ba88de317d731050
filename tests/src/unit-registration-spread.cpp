#include <flaxtiller/distribution/publisher.hpp>
#include <flaxtiller/distribution/report_interval.hpp>
#include <flaxtiller/registration/registration_spread.hpp>
#include <flaxtiller/registration/registry.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace flaxtiller;

namespace
{

constexpr duration tick = duration::from_ms(10);
constexpr duration digest_every = duration::from_ms(1000);
constexpr int servers_per_entry = 10;

time_point at_ms(double ms)
{
    return time_point(duration::from_ms(ms));
}

registration said_by(int number, std::int64_t sequence = 1)
{
    registration said;
    said.id = backend_server_name("i-" + std::to_string(number));
    said.service = service_name("s-" + std::to_string(number % 100));
    said.address = "10.0.0.1:80";
    said.sequence = sequence;
    return said;
}

/// One control replica and the entries that follow it. Messages arrive a moment later.
class spread_play
{
  public:
    spread_play(int entries, int replicas, duration way) : m_way(way)
    {
        for (int i = 0; i < entries; ++i)
        {
            const std::string name = "e-" + std::to_string(i);
            m_entries[name];
            m_reachable.insert(name);
        }
        std::set<std::string> others;
        for (int i = 0; i < replicas; ++i)
        {
            others.insert("r-" + std::to_string(i));
        }
        m_reachable.insert(others.begin(), others.end());
        m_spread.set_replicas(others);
    }

    void hear(int from, int to)
    {
        for (int i = from; i < to; ++i)
        {
            (void)m_registry.on_heartbeat(said_by(i), m_now);
        }
        m_spread.on_changes(m_registry.take_changes(), true, m_registry.digest(), m_now);
    }

    void run(duration span, bool digests = true)
    {
        for (const time_point end = m_now + span; m_now < end; m_now = m_now + tick)
        {
            deliver();
            const auto number = static_cast<int>(m_now.since_start().ms() / tick.ms());
            const auto every = static_cast<int>(digest_every.ms() / tick.ms());
            int entry = 0;
            for (const auto& [name, known] : m_entries)
            {
                if (digests && entry++ % every == number % every)
                {
                    (void)m_spread.on_digest(name, known.digest(), m_registry.digest(), m_now);
                }
            }
            send();
        }
    }

    void cut_replica()
    {
        m_reachable.erase("r-0");
    }

    void forget_at(const std::string& entry)
    {
        m_entries[entry] = registry();
    }

    bool all_know() const
    {
        return std::all_of(m_entries.begin(), m_entries.end(),
                           [&](const auto& item)
                           {
                               return item.second.digest() == m_registry.digest();
                           });
    }

    /// Sent to entries since the beginning.
    std::size_t items = 0;
    std::size_t whole_lists = 0;
    std::size_t whole_made = 0;
    std::size_t messages = 0;

  private:
    struct delivery
    {
        std::string to;
        std::vector<registration> items;
    };

    void send()
    {
        if (!m_spread.is_due(m_now))
        {
            return;
        }
        for (const auto& message : m_spread.take(m_reachable, m_registry.size(), m_now))
        {
            const std::vector<registration> sent = message.whole ? m_registry.all(m_now) : message.changes;
            whole_made += message.whole ? 1 : 0;
            for (const std::string& to : message.to)
            {
                ++messages;
                if (m_entries.count(to) == 0)
                {
                    continue;
                }
                items += sent.size();
                whole_lists += message.whole ? 1 : 0;
                m_under_way.emplace(m_now + m_way, delivery{to, sent});
            }
        }
    }

    void deliver()
    {
        while (!m_under_way.empty() && m_under_way.begin()->first <= m_now)
        {
            const delivery arrived = std::move(m_under_way.begin()->second);
            m_under_way.erase(m_under_way.begin());
            for (const registration& item : arrived.items)
            {
                (void)m_entries[arrived.to].merge(item, m_now);
            }
        }
    }

    const duration m_way;
    time_point m_now = at_ms(1000);
    registry m_registry;
    registration_spread m_spread;
    std::map<std::string, registry> m_entries;
    std::set<std::string> m_reachable;
    std::multimap<time_point, delivery> m_under_way;
};

} // namespace

TEST_CASE("a start of all costs each entry each backend server a few times, however many there are",
          "[registration]")
{
    for (const int entries : {30, 100, 300})
    {
        const int servers = entries * servers_per_entry;
        // Slow entries: what is sent to them takes longer than a change may take to be told of.
        spread_play play(entries, 2, duration::from_ms(4000));
        constexpr int steps = 100;
        for (int step = 0; step < steps; ++step)
        {
            play.hear(servers * step / steps, servers * (step + 1) / steps);
            play.run(duration::from_ms(100));
        }
        play.run(duration::from_ms(12000));
        INFO(entries << " entries");
        CHECK(play.all_know());
        const auto each = static_cast<double>(play.items) / entries / servers;
        CHECK(each <= 3.0);
        CHECK(play.whole_made <= 20);

        // Calm again: nothing is sent.
        const std::size_t before = play.messages;
        play.run(duration::from_ms(10000));
        CHECK(play.messages == before);
    }
}

TEST_CASE("a replica that can't be reached makes a bounded number of messages", "[registration]")
{
    constexpr int entries = 200;
    spread_play play(entries, 2, duration::from_ms(5));
    play.cut_replica();
    constexpr int seconds = 5;
    // Nobody follows this replica.
    for (int step = 0; step < seconds * 10; ++step)
    {
        play.hear(step * 100, (step + 1) * 100);
        play.run(duration::from_ms(100), false);
    }
    // Two messages a second, of 64 changes at most, to each; replicas get theirs.
    CHECK(play.messages <= 2U * seconds * entries + 10U * seconds + 10U);
    CHECK(play.items <= 64U * 2U * seconds * entries);
    CHECK(play.items > 0);
}

TEST_CASE("an entry that lost what it knew gets the whole list, and one that lags doesn't", "[registration]")
{
    constexpr int entries = 20;
    spread_play play(entries, 2, duration::from_ms(300));
    play.run(duration::from_ms(1500));
    play.hear(0, 50);
    play.run(duration::from_ms(3000));
    REQUIRE(play.all_know());
    const std::size_t before = play.whole_lists;

    SECTION("changes without an end")
    {
        for (int step = 0; step < 100; ++step)
        {
            play.hear(50 + step, 51 + step);
            play.run(duration::from_ms(100));
        }
        CHECK(play.whole_lists == before);
    }
    SECTION("nothing is known there any more")
    {
        play.forget_at("e-3");
        play.run(duration::from_ms(7000));
        CHECK(play.all_know());
        CHECK(play.whole_lists == before + 1);
    }
}

TEST_CASE("what a leader does for reports and revisions doesn't grow with the square of the instances",
          "[distribution]")
{
    for (const int instances : {30, 300, 1000, 2000})
    {
        distribution::publisher up;
        up.on_revision(1, std::make_shared<const configuration>());
        const auto report_all = [&](std::int64_t revision, double ms)
        {
            for (int i = 0; i < instances; ++i)
            {
                distribution::revision_report report;
                report.revision = revision;
                up.on_report(instance_name("e-" + std::to_string(i)), report, at_ms(ms));
                (void)up.take_updates(at_ms(ms));
            }
        };
        report_all(0, 0);
        const std::uint64_t first = up.instances_checked();
        CHECK(first == static_cast<std::uint64_t>(instances));
        // In step: a report costs nothing beyond itself.
        report_all(1, 1000);
        report_all(1, 2000);
        CHECK(up.instances_checked() == first);
        up.on_revision(2, std::make_shared<const configuration>());
        CHECK(up.take_updates(at_ms(2100)).size() == static_cast<std::size_t>(instances));
        CHECK(up.instances_checked() == 2 * first);
    }
}

TEST_CASE("all instances together send a leader a bounded number of reports", "[distribution]")
{
    using distribution::report_interval;
    CHECK(report_interval(0).every() == report_interval::min_interval);
    CHECK(report_interval(85).every() == report_interval::min_interval);
    for (const int instances : {300, 995, 2000, 3300})
    {
        const report_interval pace(instances);
        CHECK(instances * 1000.0 / pace.every().ms() <= report_interval::max_reports_per_s * 1.001);
        // Whoever misses three is given up at each size.
        CHECK(pace.scaled(duration::from_ms(3500)) >= pace.every() * 3.0);
    }
}
