#include "entry/register_client.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

using namespace flaxtiller;
using namespace flaxtiller::shell;

namespace
{

const link_timing timing{duration::from_ms(20), duration::from_ms(500), duration::from_ms(80)};

address free_address()
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor probe(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", probe.local_endpoint().port()};
}

hello identity(const std::string& name, const std::string& role)
{
    hello self;
    self.run = 1;
    self.name = name;
    self.role = role;
    return self;
}

/// A control replica that leads the register and grants every command.
struct granting_replica
{
    explicit granting_replica(const std::string& name)
        : links(identity(name, "control"), counted, timing, timing,
                {[this](const std::shared_ptr<const hello>& from,
                        const std::shared_ptr<const link_message>& message)
                 {
                     if (const auto* call = std::get_if<register_call>(&*message))
                     {
                         register_return granted;
                         granted.number = call->number;
                         granted.leads = true;
                         granted.reply.status = register_status::granted;
                         links.send(from->name, granted);
                     }
                 },
                 [](const std::string&, bool) {}})
    {
    }

    metrics counted;
    peer_links links;
};

/// An entry that is linked to the replica `present`.
struct calling_entry
{
    explicit calling_entry(const std::vector<std::string>& replicas)
        : links(identity("entry", "entry"), counted, timing, timing,
                {[this](const std::shared_ptr<const hello>& from,
                        const std::shared_ptr<const link_message>& message)
                 {
                     if (const auto* returned = std::get_if<register_return>(&*message))
                     {
                         client.on_return(from->name, *returned);
                     }
                 },
                 [this](const std::string&, bool up)
                 {
                     is_linked = up;
                 }}),
          client(io, links, replicas), work(boost::asio::make_work_guard(io)), runner(
                                                                                   [this]
                                                                                   {
                                                                                       io.run();
                                                                                   })
    {
        const address at = free_address();
        std::string why;
        REQUIRE(present.links.listen(at, why));
        present.links.start();
        links.set_peers({{"present", at}});
        links.start();
        REQUIRE(tick_until(is_linked));
    }

    ~calling_entry()
    {
        io.stop();
        runner.join();
    }

    bool tick_until(const std::atomic<bool>& condition)
    {
        constexpr int max_ticks = 1000;
        for (int i = 0; i < max_ticks && !condition; ++i)
        {
            links.tick();
            present.links.tick();
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return condition;
    }

    void begin(duration time_limit)
    {
        is_answered = false;
        client.call(register_command{}, time_limit,
                    [this](const register_reply& reply)
                    {
                        status = reply.status;
                        is_answered = true;
                    });
    }

    metrics counted;
    boost::asio::io_context io;
    std::atomic<bool> is_linked{false};
    std::atomic<bool> is_answered{false};
    std::atomic<register_status> status{register_status::unreachable};
    granting_replica present{"present"};
    peer_links links;
    register_client client;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread runner;
};

constexpr duration time_limit = duration::from_ms(1500);

} // namespace

// Guards against an entry that asks only the control replicas of its start, all of which may have been
// replaced.
TEST_CASE("commands to the register follow the known control replicas", "[entry]")
{
    calling_entry entry({"gone-1", "gone-2"});

    SECTION("a call that is open when the replicas are replaced reaches a present one")
    {
        entry.begin(time_limit);
        entry.client.set_replicas({"present"});
        REQUIRE(entry.tick_until(entry.is_answered));
        CHECK(entry.status == register_status::granted);
    }
    SECTION("a shorter list leaves no call at a position beyond its end")
    {
        entry.client.set_replicas({"gone-1", "gone-2", "gone-3", "present"});
        entry.begin(time_limit);
        REQUIRE(entry.tick_until(entry.is_answered));
        CHECK(entry.status == register_status::granted);
        entry.client.set_replicas({"present"});
        entry.begin(time_limit);
        REQUIRE(entry.tick_until(entry.is_answered));
        CHECK(entry.status == register_status::granted);
    }
    SECTION("without a known replica, a call waits for one")
    {
        entry.client.set_replicas({});
        entry.begin(time_limit);
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        CHECK_FALSE(entry.is_answered);
        entry.client.set_replicas({"present"});
        REQUIRE(entry.tick_until(entry.is_answered));
        CHECK(entry.status == register_status::granted);
    }
    SECTION("without a known replica, a call ends with its time limit")
    {
        entry.client.set_replicas({});
        entry.begin(duration::from_ms(200));
        REQUIRE(entry.tick_until(entry.is_answered));
        CHECK(entry.status == register_status::unreachable);
    }
}
