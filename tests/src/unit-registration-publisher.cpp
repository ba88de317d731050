#include <flaxtiller/distribution/publisher.hpp>
#include <flaxtiller/distribution/report_interval.hpp>
#include <flaxtiller/registration/registration_publisher.hpp>
#include <flaxtiller/registration/registry.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace flaxtiller;

namespace
{

constexpr duration tick = duration::from_ms(10);
constexpr duration digest_interval = duration::from_ms(1000);
constexpr int servers_per_entry = 10;

time_point at_ms(double ms)
{
    return time_point(duration::from_ms(ms));
}

registration report_of(int number, std::int64_t sequence = 1)
{
    registration heartbeat;
    heartbeat.id = backend_server_name("i-" + std::to_string(number));
    heartbeat.service = service_name("s-" + std::to_string(number % 100));
    heartbeat.address = "10.0.0.1:80";
    heartbeat.sequence = sequence;
    return heartbeat;
}

/// Simulates one control replica and the entries (instances) that follow it. Messages arrive after a
/// one-way latency.
class publisher_simulation
{
  public:
    publisher_simulation(int entries, int replicas, duration latency) : m_latency(latency)
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
        m_publisher.set_replicas(others);
    }

    /// Receives a heartbeat of each backend server of the range.
    void receive_heartbeats(int from, int to)
    {
        for (int i = from; i < to; ++i)
        {
            (void)m_registry.on_heartbeat(report_of(i), m_now);
        }
        m_publisher.on_changes(m_registry.take_changes(), true, m_registry.digest(), m_now);
    }

    void run(duration span, bool digests = true)
    {
        for (const time_point end = m_now + span; m_now < end; m_now = m_now + tick)
        {
            deliver();
            const auto number = static_cast<int>(m_now.since_start().ms() / tick.ms());
            const auto ticks_per_digest = static_cast<int>(digest_interval.ms() / tick.ms());
            int entry = 0;
            for (const auto& [name, known] : m_entries)
            {
                if (digests && entry++ % ticks_per_digest == number % ticks_per_digest)
                {
                    (void)m_publisher.on_digest(name, known.digest(), m_registry.digest(), m_now);
                }
            }
            send();
        }
    }

    void cut_off_replica()
    {
        m_reachable.erase("r-0");
    }

    void clear_registry_of(const std::string& entry)
    {
        m_entries[entry] = registry();
    }

    /// Loses the messages in transit to an entry with its link. The entry establishes another link at once.
    void break_link(const std::string& entry)
    {
        std::erase_if(m_in_transit,
                      [&](const auto& item)
                      {
                          return item.second.to == entry;
                      });
        m_publisher.on_lost(entry, m_now);
    }

    bool all_agree() const
    {
        return std::all_of(m_entries.begin(), m_entries.end(),
                           [&](const auto& item)
                           {
                               return item.second.digest() == m_registry.digest();
                           });
    }

    /// The traffic since the beginning: registrations and full lists sent to entries, full lists composed,
    /// and messages to all peers.
    std::size_t items = 0;
    std::size_t full_lists = 0;
    std::size_t full_lists_composed = 0;
    std::size_t messages = 0;

  private:
    struct delivery
    {
        std::string to;
        std::vector<registration> items;
    };

    void send()
    {
        if (!m_publisher.is_due(m_now))
        {
            return;
        }
        for (const auto& message : m_publisher.take(m_reachable, m_registry.size(), m_now))
        {
            const std::vector<registration> sent = message.whole ? m_registry.all(m_now) : message.changes;
            full_lists_composed += message.whole ? 1 : 0;
            for (const std::string& to : message.to)
            {
                ++messages;
                if (m_entries.count(to) == 0)
                {
                    continue;
                }
                items += sent.size();
                full_lists += message.whole ? 1 : 0;
                m_in_transit.emplace(m_now + m_latency, delivery{to, sent});
            }
        }
    }

    void deliver()
    {
        while (!m_in_transit.empty() && m_in_transit.begin()->first <= m_now)
        {
            const delivery arrived = std::move(m_in_transit.begin()->second);
            m_in_transit.erase(m_in_transit.begin());
            for (const registration& item : arrived.items)
            {
                (void)m_entries[arrived.to].merge(item, m_now);
            }
        }
    }

    const duration m_latency;
    time_point m_now = at_ms(1000);
    registry m_registry;
    registration_publisher m_publisher;
    std::map<std::string, registry> m_entries;
    std::set<std::string> m_reachable;
    std::multimap<time_point, delivery> m_in_transit;
};

} // namespace

TEST_CASE("a simultaneous start sends each registration to each entry a few times, at any fleet size",
          "[registration]")
{
    for (const int entries : {30, 100, 300})
    {
        const int servers = entries * servers_per_entry;
        // The latency exceeds the digest mismatch bound, so that slow entries must not cause additional full
        // lists.
        publisher_simulation simulation(entries, 2, duration::from_ms(4000));
        constexpr int batches = 100;
        for (int batch = 0; batch < batches; ++batch)
        {
            simulation.receive_heartbeats(servers * batch / batches, servers * (batch + 1) / batches);
            simulation.run(duration::from_ms(100));
        }
        simulation.run(duration::from_ms(12000));
        INFO(entries << " entries");
        CHECK(simulation.all_agree());
        const auto each = static_cast<double>(simulation.items) / entries / servers;
        CHECK(each <= 3.0);
        CHECK(simulation.full_lists_composed <= 20);

        // Nothing is sent without further changes.
        const std::size_t before = simulation.messages;
        simulation.run(duration::from_ms(10000));
        CHECK(simulation.messages == before);
    }
}

TEST_CASE("an unreachable replica causes a bounded number of messages", "[registration]")
{
    constexpr int entries = 200;
    publisher_simulation simulation(entries, 2, duration::from_ms(5));
    simulation.cut_off_replica();
    constexpr int seconds = 5;
    // Without digests, no entry counts as a follower of this replica.
    for (int batch = 0; batch < seconds * 10; ++batch)
    {
        simulation.receive_heartbeats(batch * 100, (batch + 1) * 100);
        simulation.run(duration::from_ms(100), false);
    }
    // Each entry receives at most two messages per second with at most 64 changes each. The last two terms
    // bound the messages to replicas.
    CHECK(simulation.messages <= 2U * seconds * entries + 10U * seconds + 10U);
    CHECK(simulation.items <= 64U * 2U * seconds * entries);
    CHECK(simulation.items > 0);
}

TEST_CASE("an entry that lost its registry receives the full list, and one that lags behind doesn't",
          "[registration]")
{
    constexpr int entries = 20;
    publisher_simulation simulation(entries, 2, duration::from_ms(300));
    simulation.run(duration::from_ms(1500));
    simulation.receive_heartbeats(0, 50);
    simulation.run(duration::from_ms(3000));
    REQUIRE(simulation.all_agree());
    const std::size_t before = simulation.full_lists;

    SECTION("entries that lag behind continuous changes receive no full list")
    {
        for (int batch = 0; batch < 100; ++batch)
        {
            simulation.receive_heartbeats(50 + batch, 51 + batch);
            simulation.run(duration::from_ms(100));
        }
        CHECK(simulation.full_lists == before);
    }
    SECTION("an entry that lost its registry receives one full list")
    {
        simulation.clear_registry_of("e-3");
        simulation.run(duration::from_ms(7000));
        CHECK(simulation.all_agree());
        CHECK(simulation.full_lists == before + 1);
    }
}

// Guards against an entry that uses outdated registrations for as long as its digest counts as a recent one.
TEST_CASE("changes that were lost with a link are sent with the first digest on the next link",
          "[registration]")
{
    constexpr int entries = 20;
    const duration latency = duration::from_ms(30);
    publisher_simulation simulation(entries, 2, latency);
    simulation.run(duration::from_ms(1500));
    simulation.receive_heartbeats(0, 50);
    simulation.run(duration::from_ms(3000));
    REQUIRE(simulation.all_agree());
    const std::size_t before = simulation.full_lists;

    simulation.receive_heartbeats(50, 52);
    simulation.run(pending_changes::batch_window + tick);
    simulation.break_link("e-3");
    simulation.run(digest_interval + latency * 2.0);
    CHECK(simulation.all_agree());
    CHECK(simulation.full_lists == before + 1);
    // The digests of the other entries are up to date, so that nothing more is sent.
    simulation.run(duration::from_ms(5000));
    CHECK(simulation.full_lists == before + 1);
}

// Guards against a replica that lacks changes for as long as its digest counts as a recent one.
TEST_CASE("a replica whose link was lost is sent all with its next digest", "[registration]")
{
    const std::string other = "r-0";
    const std::uint64_t digest_before = 11;
    const std::uint64_t digest_now = 12;
    registration_publisher publisher;
    publisher.set_replicas({other});
    publisher.on_changes({report_of(0)}, true, digest_before, at_ms(0));
    publisher.on_changes({report_of(1)}, true, digest_now, at_ms(200));
    (void)publisher.take({other}, 2, at_ms(300));
    CHECK_FALSE(publisher.on_digest(other, digest_before, digest_now, at_ms(310)));
    publisher.on_lost(other, at_ms(320));
    CHECK(publisher.on_digest(other, digest_before, digest_now, at_ms(330)));
    const auto messages = publisher.take({other}, 2, at_ms(340));
    REQUIRE(messages.size() == 1);
    CHECK(messages[0] == registration_publisher::outgoing{{other}, true, {}});
}

// Guards against an entry that changes the replica it follows and misses a leaving backend server for
// seconds.
TEST_CASE("an instance that begins to follow receives the changes that only followers were told",
          "[registration]")
{
    const std::string entry = "e-0";
    const std::uint64_t digest_before = 11;
    const std::uint64_t digest_now = 12;
    registration_publisher publisher;
    publisher.set_replicas({"r-0"});
    publisher.on_changes({report_of(0)}, true, digest_before, at_ms(0));
    (void)publisher.take({entry, "r-0"}, 1, at_ms(100));
    publisher.on_changes({report_of(1)}, true, digest_now, at_ms(200));
    (void)publisher.take({entry, "r-0"}, 2, at_ms(300));

    CHECK(publisher.on_digest(entry, digest_before, digest_now, at_ms(1000)));
    const auto messages = publisher.take({entry, "r-0"}, 2, at_ms(1000));
    REQUIRE(messages.size() == 1);
    CHECK(messages[0] == registration_publisher::outgoing{{entry}, true, {}});
    // From now on a digest of that time stands for changes in transit.
    CHECK_FALSE(publisher.on_digest(entry, digest_before, digest_now, at_ms(2000)));
}

TEST_CASE("the cost of reports and revisions for a leader grows linearly with the number of instances",
          "[distribution]")
{
    for (const int instances : {30, 300, 1000, 2000})
    {
        distribution::publisher leader_publisher;
        leader_publisher.on_revision(1, std::make_shared<const configuration>());
        const auto report_all = [&](std::int64_t revision, double ms)
        {
            for (int i = 0; i < instances; ++i)
            {
                distribution::revision_report report;
                report.revision = revision;
                leader_publisher.on_report(instance_name("e-" + std::to_string(i)), report, at_ms(ms));
                (void)leader_publisher.take_updates(at_ms(ms));
            }
        };
        report_all(0, 0);
        const std::uint64_t first = leader_publisher.instances_checked();
        CHECK(first == static_cast<std::uint64_t>(instances));
        // A report of an instance that is up to date examines no instances.
        report_all(1, 1000);
        report_all(1, 2000);
        CHECK(leader_publisher.instances_checked() == first);
        leader_publisher.on_revision(2, std::make_shared<const configuration>());
        CHECK(leader_publisher.take_updates(at_ms(2100)).size() == static_cast<std::size_t>(instances));
        CHECK(leader_publisher.instances_checked() == 2 * first);
    }
}

TEST_CASE("all instances together send a leader a bounded rate of reports", "[distribution]")
{
    using distribution::report_interval;
    CHECK(report_interval(0).every() == report_interval::min_interval);
    CHECK(report_interval(85).every() == report_interval::min_interval);
    for (const int instances : {300, 995, 2000, 3300})
    {
        const report_interval pace(instances);
        CHECK(instances * 1000.0 / pace.every().ms() <= report_interval::max_reports_per_s * 1.001);
        // At each fleet size, the time-out covers three reports.
        CHECK(pace.scaled(duration::from_ms(3500)) >= pace.every() * 3.0);
    }
}
