#include "links/peer_links.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

using namespace flaxtiller;
using namespace flaxtiller::shell;

namespace
{

const link_timing timing{duration::from_ms(20), duration::from_ms(60), duration::from_ms(80)};

std::uint16_t free_port()
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor probe(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint().port();
}

/// A process with links, and how often its peers became reachable and unreachable.
struct linked_process
{
    linked_process(const std::string& name, const std::string& role, std::uint64_t run = 1)
        : links(identity(name, role, run), counted, timing, timing,
                {[this](const std::shared_ptr<const hello>& from, const auto&)
                 {
                     ++(from->run == 1 ? received : received_of_later_run);
                 },
                 [this](const std::string&, bool is_reachable)
                 {
                     ++(is_reachable ? reached : lost);
                 }})
    {
    }

    static hello identity(const std::string& name, const std::string& role, std::uint64_t run)
    {
        hello self;
        self.run = run;
        self.name = name;
        self.role = role;
        return self;
    }

    metrics counted;
    std::atomic<int> reached{0};
    std::atomic<int> lost{0};
    /// The messages received from peers in their first runs, and in later ones.
    std::atomic<int> received{0};
    std::atomic<int> received_of_later_run{0};
    peer_links links;
};

/// Calls @a tick until the condition holds.
bool tick_until(linked_process& process, const std::function<bool()>& condition)
{
    constexpr int max_ticks = 2000;
    for (int i = 0; i < max_ticks && !condition(); ++i)
    {
        process.links.tick();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
}

/// Lets a process accept links, and another one dial it by the name given.
void link(linked_process& dialling, linked_process& accepting, const std::string& accepting_name)
{
    const address at{"127.0.0.1", free_port()};
    std::string why;
    REQUIRE(accepting.links.listen(at, why));
    accepting.links.start();
    dialling.links.set_peers({{accepting_name, at}});
    dialling.links.start();
    REQUIRE(tick_until(dialling,
                       [&]
                       {
                           return dialling.reached == 1 && accepting.reached == 1;
                       }));
}

} // namespace

// Guards against a process that, after a pause, closes its links and discards the messages that wait in them.
TEST_CASE("the time for which a process was paused isn't counted as silence of its peers", "[links]")
{
    linked_process accepting("b", "control");
    linked_process dialling("a", "entry");
    link(dialling, accepting, "b");

    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    dialling.links.tick();
    CHECK(dialling.lost == 0);
    CHECK(dialling.links.reachable().count("b") == 1);

    // A peer that sends nothing while the process runs is silent: `accepting` sends no heartbeats here.
    CHECK(tick_until(dialling,
                     [&]
                     {
                         return dialling.lost > 0;
                     }));
}

// Guards against a silent link that is never found since this process is paused again and again.
TEST_CASE("a silent peer is found although this process is paused again and again", "[links]")
{
    linked_process accepting("b", "control");
    linked_process dialling("a", "entry");
    link(dialling, accepting, "b");

    // `accepting` sends no heartbeats here, and each tick of `dialling` comes later than a heartbeat
    // interval.
    constexpr int pauses = 20;
    for (int i = 0; i < pauses && dialling.lost == 0; ++i)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
        dialling.links.tick();
    }
    CHECK(dialling.lost == 1);
}

// Guards against dials to a peer that never answers becoming so rare that the peer is reached late once it
// does.
TEST_CASE("a peer that doesn't answer is dialled again within twice the time of a silent link", "[links]")
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor unanswering(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::vector<boost::asio::ip::tcp::socket> held;
    const std::function<void()> accept = [&]
    {
        unanswering.async_accept(
            [&](const boost::system::error_code& failed, boost::asio::ip::tcp::socket connection)
            {
                if (!failed)
                {
                    held.push_back(std::move(connection));
                    accept();
                }
            });
    };
    accept();
    linked_process dialling("a", "entry");
    dialling.links.set_peers({{"b", {"127.0.0.1", unanswering.local_endpoint().port()}}});
    dialling.links.start();
    constexpr int ticks = 600;
    for (int i = 0; i < ticks; ++i)
    {
        dialling.links.tick();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        io.poll();
    }
    // Each dial takes the initial time limit of 300 ms, which exceeds the time of a silent link, and a pause.
    constexpr std::size_t min_dials = 5;
    CHECK(held.size() >= min_dials);
}

// Guards against a process that acts on what an earlier run of its peer sent, and answers the present run.
TEST_CASE("messages of an earlier run of a peer are discarded once a later run is linked", "[links]")
{
    const address at_a{"127.0.0.1", free_port()};
    const address at_b{"127.0.0.1", free_port()};
    std::string why;
    linked_process earlier("a", "entry", 1);
    REQUIRE(earlier.links.listen(at_a, why));
    earlier.links.start();
    linked_process receiver("b", "entry");
    REQUIRE(receiver.links.listen(at_b, why));
    receiver.links.set_peers({{"a", at_a}});
    receiver.links.start();
    REQUIRE(tick_until(receiver,
                       [&]
                       {
                           return earlier.reached == 1 && receiver.reached == 1;
                       }));
    earlier.links.send("b", registration_digest{1});
    REQUIRE(tick_until(receiver,
                       [&]
                       {
                           return receiver.received == 1;
                       }));

    linked_process later("a", "entry", 2);
    later.links.set_peers({{"b", at_b}});
    later.links.start();
    REQUIRE(tick_until(later,
                       [&]
                       {
                           return later.reached == 1;
                       }));
    later.links.send("b", registration_digest{2});
    REQUIRE(tick_until(later,
                       [&]
                       {
                           return receiver.received_of_later_run == 1;
                       }));
    earlier.links.send("b", registration_digest{3});
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(receiver.received == 1);
}

// Guards against a process that takes messages from a process of another deployment, which took over an
// address.
TEST_CASE("links to processes of another deployment are refused", "[links]")
{
    const deployment_id own = deployment_id::of_secret("own");
    const deployment_id foreign = deployment_id::of_secret("foreign");
    linked_process accepting("b", "control");
    linked_process dialling("a", "entry");
    const address at{"127.0.0.1", free_port()};
    std::string why;
    REQUIRE(accepting.links.listen(at, why));
    const auto open = [&]
    {
        accepting.links.start();
        dialling.links.set_peers({{"b", at}});
        dialling.links.start();
    };
    const auto tick_for = [&](int ticks)
    {
        for (int i = 0; i < ticks; ++i)
        {
            dialling.links.tick();
            accepting.links.tick();
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    };
    const auto holds_in_time = [&](const std::function<bool()>& condition)
    {
        constexpr int max_ticks = 2000;
        for (int i = 0; i < max_ticks && !condition(); ++i)
        {
            tick_for(1);
        }
        return condition();
    };
    const auto are_linked = [&]
    {
        return dialling.reached >= 1 && accepting.reached >= 1;
    };

    SECTION("both deployments are known when the link is opened")
    {
        accepting.links.set_deployment(foreign);
        dialling.links.set_deployment(own);
        open();
        tick_for(60);
        accepting.links.send("a", registration_digest{1});
        dialling.links.send("b", registration_digest{1});
        tick_for(20);
        CHECK(dialling.reached == 0);
        CHECK(accepting.reached == 0);
        CHECK(dialling.received == 0);
        CHECK(accepting.received == 0);
        CHECK_FALSE(dialling.links.identity("b"));
    }
    SECTION("they become known while the link is open")
    {
        open();
        REQUIRE(holds_in_time(are_linked));
        REQUIRE(dialling.links.identity("b")->deployment == deployment_id());
        accepting.links.set_deployment(foreign);
        REQUIRE(holds_in_time(
            [&]
            {
                const auto identity = dialling.links.identity("b");
                return identity && identity->deployment == foreign;
            }));
        REQUIRE(dialling.links.reachable().count("b") == 1);
        dialling.links.set_deployment(own);
        CHECK(holds_in_time(
            [&]
            {
                return dialling.links.reachable().empty() && !dialling.links.identity("b");
            }));
        const int reached = dialling.reached;
        tick_for(60);
        CHECK(dialling.reached == reached);
    }
    SECTION("one that is unknown, or the same, is no reason")
    {
        dialling.links.set_deployment(own);
        open();
        REQUIRE(holds_in_time(are_linked));
        accepting.links.set_deployment(own);
        CHECK(holds_in_time(
            [&]
            {
                const auto identity = dialling.links.identity("b");
                return identity && identity->deployment == own;
            }));
        tick_for(20);
        CHECK(dialling.links.reachable().count("b") == 1);
    }
}
