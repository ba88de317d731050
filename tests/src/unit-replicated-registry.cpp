#include "registration_play.hpp"
#include "registration_reports.hpp"

#include <flaxtiller/registration/replicated_registry.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <variant>

using namespace flaxtiller;
using test::report_of;

namespace
{

constexpr duration silence = duration::from_ms(12000);

time_point at_ms(double ms)
{
    return time_point(duration::from_ms(ms));
}

/// @return the changes in @a messages that @a peer is sent, and whether receipts precede them
struct sent_changes
{
    std::vector<registration> items;
    bool after_receipts = false;
};

sent_changes changes_to(const std::string& peer, const std::vector<replicated_registry::outgoing>& messages)
{
    sent_changes sent;
    bool receipts = false;
    for (const auto& message : messages)
    {
        const bool addressed = std::count(message.to.begin(), message.to.end(), peer) > 0;
        const auto* update = std::get_if<registration_update>(&message.content);
        receipts = receipts || std::holds_alternative<registration_heard>(message.content);
        if (addressed && update != nullptr)
        {
            sent.items.insert(sent.items.end(), update->items.begin(), update->items.end());
            sent.after_receipts = sent.after_receipts || receipts;
        }
    }
    return sent;
}

/// A replica with two others, followed by a number of entries.
replicated_registry followed_replica(int entries)
{
    replicated_registry replica(silence, at_ms(0));
    replica.set_replicas({"r-1", "r-2"});
    replica.on_reachable("r-1", true, at_ms(0));
    replica.on_reachable("r-2", true, at_ms(0));
    for (int i = 0; i < entries; ++i)
    {
        const std::string name = "e-" + std::to_string(i);
        replica.on_reachable(name, false, at_ms(0));
        (void)replica.on_digest(name, 0, at_ms(0));
    }
    return replica;
}

} // namespace

// Guards against a replica that ends with confirmed changes of which only it knows.
TEST_CASE("the other replicas are sent what was confirmed to a leaving backend server at once",
          "[registration]")
{
    constexpr int entries = 85;
    replicated_registry replica = followed_replica(entries);
    for (const std::string id : {"a", "b", "c"})
    {
        replica.on_heartbeat(report_of(id, 1), at_ms(900));
    }
    replica.tick(false, at_ms(1000));
    (void)replica.take_messages();

    replica.on_heartbeat(report_of("a", 2, registration_state::draining), at_ms(1200));
    REQUIRE(changes_to("r-1", replica.take_messages()).items.size() == 1);
    SECTION("also within the pause between two messages to the followers")
    {
        replica.on_heartbeat(report_of("b", 2, registration_state::draining), at_ms(1201));
        const auto messages = replica.take_messages();
        REQUIRE(changes_to("r-1", messages).items.size() == 1);
        CHECK(changes_to("r-1", messages).items.at(0).id == backend_server_name("b"));
        CHECK(changes_to("r-2", messages).items.size() == 1);
        CHECK(changes_to("e-0", messages).items.empty());
        replica.tick(false, at_ms(1200) + registration_publisher::pause_per_follower * entries);
        CHECK(changes_to("e-0", replica.take_messages()).items.size() == 1);
    }
    SECTION("and a deregistration, too")
    {
        replica.on_leave(backend_server_name("c"), 0, at_ms(1201));
        CHECK(changes_to("r-1", replica.take_messages()).items.size() == 1);
    }
}

// Guards against a replica that keeps an old state until its digest is compared.
TEST_CASE("a replica that missed a change gets it with the next exchange of receipts", "[registration]")
{
    const registration_state reported = GENERATE(registration_state::draining, registration_state::ready);
    replicated_registry sender = followed_replica(0);
    replicated_registry receiver = followed_replica(0);
    const auto exchange = [&](time_point now)
    {
        sender.tick(false, now);
        for (const auto& message : sender.take_messages())
        {
            if (const auto* receipts = std::get_if<registration_heard>(&message.content))
            {
                (void)receiver.on_heartbeat_receipts("r-0", receipts->items, now);
            }
        }
        for (const auto& asked : receiver.take_messages())
        {
            if (const auto* update = std::get_if<registration_update>(&asked.content))
            {
                REQUIRE(asked.to == std::vector<std::string>{"r-0"});
                (void)sender.on_update("r-1", *update, now);
            }
        }
        for (const auto& answer : sender.take_messages())
        {
            (void)receiver.on_update("r-0", std::get<registration_update>(answer.content), now);
        }
    };
    const registration known = report_of("a", 1);
    (void)receiver.on_update("r-2", registration_update{false, {known}, false, std::nullopt}, at_ms(1));
    (void)receiver.take_messages();
    registration changed = report_of("a", 2, reported);
    changed.slots = 7;
    sender.on_heartbeat(changed, at_ms(2));
    (void)sender.take_messages();
    exchange(at_ms(3000));
    CHECK(receiver.known().find(known.id)->state == reported);
    CHECK(receiver.known().find(known.id)->slots == 7);
    const auto further = receiver.take_messages();
    CHECK(std::none_of(further.begin(), further.end(),
                       [](const replicated_registry::outgoing& message)
                       {
                           return message.to == std::vector<std::string>{"r-0"};
                       }));
}

// Guards against entries that count as lagging for longer than the agreed time.
TEST_CASE("an entry that lacks a leaving backend server learns of it within the agreed time",
          "[registration]")
{
    distribution::change_bounds bounds;
    bounds.drain = duration::from_ms(GENERATE(3000.0, 4000.0));
    const test::registration_play_size size{3, 6, 60};
    test::registration_play all(size, 1, digest_timing_within(bounds));
    all.run_until(at_ms(16000));
    REQUIRE(all.all_agree());
    for (const time_point end = all.now() + test::registration_play::report_interval; all.now() < end;
         all.run_until(all.now() + duration::from_ms(50)))
    {
        test::registration_play play = all;
        play.set_muted("r-0", "e-0", true);
        play.leave(5);
        play.run_until(play.now() + duration::from_ms(200));
        play.set_muted("r-0", "e-0", false);
        REQUIRE(play.lateness_of(bounds.drain).unknown_pairs > 0);
        play.run_until_known(bounds.drain * 2.0);
        const auto late = play.lateness_of(bounds.drain);
        INFO("worst: " << late.worst.ms() << " ms");
        CHECK(late.late_pairs == 0);
    }
}

TEST_CASE("the times of digests follow from the agreed time for leaving backend servers", "[registration]")
{
    distribution::change_bounds bounds;
    CHECK(digest_timing_within(bounds) == digest_timing{});
    bounds.drain = duration::from_ms(3000);
    const digest_timing timing = digest_timing_within(bounds);
    const duration list_pause = registration_publisher::full_list_interval;
    // A report just before the lag counts, the next one, and the pause before the list.
    CHECK(timing.max_lag + test::registration_play::report_interval + list_pause < bounds.drain);
    CHECK(test::registration_play::report_interval * 2.0 + list_pause < bounds.drain);
    CHECK(timing.mismatch < test::registration_play::report_interval);
    CHECK(timing.max_pause < timing.max_lag);
    bounds.drain = duration::from_ms(3600000);
    CHECK(digest_timing_within(bounds).max_lag == digest_timing{}.max_lag);
}

// Guards against entries that follow an unreachable replica and don't learn that many backend servers leave.
TEST_CASE("instances that follow an unreachable replica are told of all that leave", "[registration]")
{
    constexpr int servers = 300;
    replicated_registry replica = followed_replica(1);
    replica.on_reachable("e-elsewhere", false, at_ms(0));
    const auto id_of = [](int number)
    {
        return "i-" + std::to_string(number);
    };
    replica.on_lost("r-1", at_ms(500));
    const auto sent_to_non_follower = [&](double from_ms, double to_ms)
    {
        std::vector<registration> items;
        for (double ms = from_ms; ms <= to_ms; ms += 10.0)
        {
            replica.tick(false, at_ms(ms));
            const auto sent = changes_to("e-elsewhere", replica.take_messages());
            items.insert(items.end(), sent.items.begin(), sent.items.end());
        }
        return items;
    };
    for (int i = 0; i < servers; ++i)
    {
        replica.on_heartbeat(report_of(id_of(i), 1), at_ms(900));
    }
    double leave_at_ms = 1010;
    SECTION("what is new may wait for the full list")
    {
        CHECK(sent_to_non_follower(900, 1590).size() == registration_publisher::max_items_to_non_followers);
        leave_at_ms = 1600;
    }
    SECTION("also together with what is new")
    {
        replica.tick(false, at_ms(1000));
        CHECK(changes_to("e-elsewhere", replica.take_messages()).items.empty());
    }
    for (int i = 0; i < servers; ++i)
    {
        replica.on_heartbeat(report_of(id_of(i), 2, registration_state::draining), at_ms(leave_at_ms));
    }
    const auto items = sent_to_non_follower(leave_at_ms, leave_at_ms + 600);
    CHECK(std::count_if(items.begin(), items.end(),
                        [](const registration& item)
                        {
                            return item.state == registration_state::draining;
                        }) == servers);
}

// Guards against receipts that reach a replica before the changes that they stand for.
TEST_CASE("changes are sent to the other replicas before the receipts of their heartbeats", "[registration]")
{
    replicated_registry replica = followed_replica(85);
    const time_point exchange_at = at_ms(0) + replicated_registry::max_exchange_interval;
    replica.tick(false, at_ms(0));
    (void)replica.take_messages();
    REQUIRE(replica.next_exchange_at() == exchange_at);
    const duration moment = duration::from_ms(1.0);
    replica.on_heartbeat(report_of("a", 1), exchange_at - moment);
    CHECK(replica.take_messages().empty());
    replica.tick(false, exchange_at);
    const sent_changes sent = changes_to("r-1", replica.take_messages());
    CHECK(sent.items.size() == 1);
    CHECK_FALSE(sent.after_receipts);
}
