#include "registration_reports.hpp"

#include <flaxtiller/registration/registry.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flaxtiller;
using test::report_of;

namespace
{

constexpr duration lost_after = duration::from_ms(8000);

} // namespace

TEST_CASE("a registry tracks backend servers that register themselves", "[registration]")
{
    registry known;
    time_point now(duration::from_ms(1000));
    REQUIRE(known.on_heartbeat(report_of("a", 1), now));
    REQUIRE(known.take_changes().size() == 1);

    SECTION("only changes are passed on to other processes")
    {
        CHECK_FALSE(known.on_heartbeat(report_of("a", 2), now));
        CHECK(known.take_changes().empty());
        CHECK(known.on_heartbeat(report_of("a", 3, registration_state::draining), now));
        CHECK(known.take_changes().size() == 1);
    }
    SECTION("a delayed heartbeat doesn't replace a newer report")
    {
        known.on_heartbeat(report_of("a", 5, registration_state::draining), now);
        CHECK_FALSE(known.on_heartbeat(report_of("a", 4), now));
        CHECK_FALSE(known.merge(report_of("a", 2), now));
        CHECK(known.present().at(0).state == registration_state::draining);
    }
    SECTION("registrations of a previous run count until their heartbeats are overdue")
    {
        const duration confirmation_timeout = duration::from_ms(3000);
        registry restarted;
        CHECK(restarted.restore(
                  {report_of("a", 5), report_of("b", 5), report_of("c", 5, registration_state::lost)}, now) ==
              2);
        CHECK(restarted.present().size() == 2);
        CHECK(restarted.has_unconfirmed());
        SECTION("a heartbeat confirms one backend server, and the unconfirmed one is lost")
        {
            restarted.on_heartbeat(report_of("a", 6), now);
            now = now + confirmation_timeout + duration::from_ms(1);
            CHECK(restarted.mark_unconfirmed_lost(confirmation_timeout, now));
            REQUIRE(restarted.present().size() == 1);
            CHECK(restarted.present()[0].id == backend_server_name("a"));
            CHECK_FALSE(restarted.has_unconfirmed());
            CHECK(restarted.on_heartbeat(report_of("b", 7), now));
        }
        SECTION("a heartbeat receipt of another process confirms a backend server")
        {
            restarted.on_heartbeat_receipts({{backend_server_name("a"), 6}, {backend_server_name("b"), 5}},
                                            now);
            now = now + confirmation_timeout + duration::from_ms(1);
            CHECK(restarted.mark_unconfirmed_lost(confirmation_timeout, now));
            CHECK(restarted.present().size() == 1);
        }
        SECTION("backend servers missing from the list of a process that didn't restart are lost")
        {
            CHECK(restarted.mark_unconfirmed_lost(std::vector{report_of("a", 5)}));
            CHECK(restarted.present().size() == 1);
            CHECK(restarted.has_unconfirmed());
        }
        SECTION("a backend server that deregistered during the restart isn't restored")
        {
            registry current;
            current.on_leave(backend_server_name("a"), 0, now);
            CHECK(current.restore({report_of("a", 5)}, now) == 0);
            CHECK(current.present().empty());
        }
    }
    SECTION("a late heartbeat doesn't bring back, after a restart, what deregistered before")
    {
        known.on_leave(backend_server_name("a"), 0, now);
        registry restarted;
        CHECK(restarted.restore(known.all(now), now) == 0);
        CHECK_FALSE(restarted.has_unconfirmed());
        CHECK_FALSE(restarted.on_heartbeat(report_of("a", 9), now));
        CHECK(restarted.present().empty());
        CHECK(restarted.missed_among({report_of("a", 9)}, now).size() == 1);
        SECTION("nor does the list of a process that missed the deregistration")
        {
            CHECK_FALSE(restarted.merge(report_of("a", 9), now));
            CHECK_FALSE(restarted.mark_unconfirmed_lost({report_of("a", 9)}));
            CHECK(restarted.present().empty());
        }
        SECTION("for as long after the restart as without one")
        {
            now = now + registry::gone_retention;
            CHECK(restarted.forget(lost_after, now).empty());
            CHECK_FALSE(restarted.on_heartbeat(report_of("a", 10), now));
        }
        SECTION("but a later run under the id registers")
        {
            registration later = report_of("a", 1);
            later.born_ms = 200;
            CHECK(restarted.missed_among({later}, now).empty());
            CHECK(restarted.on_heartbeat(later, now));
            CHECK(restarted.present().size() == 1);
        }
    }
    SECTION("what was lost, not deregistered, comes back after a restart")
    {
        registry restarted;
        restarted.restore({report_of("a", 5, registration_state::lost)}, now);
        CHECK(restarted.on_heartbeat(report_of("a", 4), now));
        CHECK(restarted.present().size() == 1);
    }
    SECTION("a deregistration is final, also if it arrives before the first heartbeat")
    {
        CHECK(known.on_leave(backend_server_name("a"), 0, now));
        CHECK_FALSE(known.on_heartbeat(report_of("a", 9), now));
        known.on_leave(backend_server_name("b"), 0, now);
        CHECK_FALSE(known.on_heartbeat(report_of("b", 1), now));
        CHECK(known.present().empty());
    }
    SECTION("a backend server without heartbeats is lost, and its next heartbeat restores it")
    {
        known.on_heartbeat(report_of("b", 1), now);
        now = now + lost_after;
        known.on_heartbeat_receipts({{backend_server_name("b"), 7}}, now);
        now = now + duration::from_ms(1);
        CHECK(known.expire(lost_after, now));
        REQUIRE(known.present().size() == 1);
        CHECK(known.present()[0].id.str() == "b");
        CHECK(known.on_heartbeat(report_of("a", 9), now));
        CHECK(known.present().size() == 2);
    }
    SECTION("what is gone or lost doesn't take up memory for ever, also on a process that doesn't lead")
    {
        known.on_heartbeat(report_of("b", 1), now);
        known.on_leave(backend_server_name("a"), 0, now);
        known.merge(report_of("b", 2, registration_state::lost), now);
        CHECK(known.forget(lost_after, now + registry::gone_retention).empty());
        CHECK(known.size() == 2);
        now = now + registry::gone_retention + registry::forget_interval;
        CHECK(known.forget(lost_after, now) == std::vector{backend_server_name("a")});
        now = now + lost_after;
        CHECK(known.forget(lost_after, now) == std::vector{backend_server_name("b")});
        CHECK(known.empty());
    }
    SECTION("a heartbeat receipt that overtakes the change it stands for doesn't suppress the change")
    {
        registry other;
        other.merge(report_of("a", 1), now);
        known.on_heartbeat(report_of("a", 2, registration_state::draining), now);
        const std::vector<registration> changes = known.take_changes();
        const std::vector<registration> full_list = known.all(now);
        other.on_heartbeat_receipts(known.take_heartbeat_receipts(), now);
        SECTION("sent as a change")
        {
            CHECK(other.merge(changes.at(0), now));
        }
        SECTION("sent with the full list")
        {
            CHECK(other.merge(full_list.at(0), now));
        }
        CHECK(other.present().at(0).state == registration_state::draining);
        CHECK(other.digest() == known.digest());
    }
    SECTION("a heartbeat receipt raises the sequence of a known status only")
    {
        registry other;
        other.merge(report_of("a", 1), now);
        known.on_heartbeat(report_of("a", 7), now);
        other.on_heartbeat_receipts(known.take_heartbeat_receipts(), now);
        CHECK(other.find(backend_server_name("a"))->sequence == 7);
        SECTION("not one without a status, which a process of an older build sent")
        {
            other.on_heartbeat_receipts({{backend_server_name("a"), 9}}, now);
            CHECK(other.find(backend_server_name("a"))->sequence == 7);
        }
        SECTION("not one that reports another number of slots")
        {
            registration larger = report_of("a", 9);
            larger.slots = 5;
            known.on_heartbeat(larger, now);
            other.on_heartbeat_receipts(known.take_heartbeat_receipts(), now);
            CHECK(other.find(backend_server_name("a"))->sequence == 7);
        }
        SECTION("and keeps a backend server from being lost in any case")
        {
            now = now + lost_after;
            other.on_heartbeat_receipts({{backend_server_name("a"), 9}}, now);
            CHECK_FALSE(other.expire(lost_after, now + lost_after));
        }
    }
    SECTION("a heartbeat that bears the sequence of a loss elsewhere counts on both processes")
    {
        const registration_state reported = GENERATE(registration_state::ready, registration_state::draining);
        registry leader;
        leader.merge(report_of("a", 1), now);
        now = now + lost_after * 2.0;
        REQUIRE(leader.expire(lost_after, now));
        const registration lost = leader.take_changes().back();
        known.on_heartbeat(report_of("a", lost.sequence, reported), now);
        known.merge(lost, now);
        leader.merge(known.all(now).at(0), now);
        REQUIRE(known.present().size() == 1);
        CHECK(known.present().at(0).state == reported);
        REQUIRE(leader.present().size() == 1);
        CHECK(leader.present().at(0).state == reported);
        CHECK(leader.digest() == known.digest());
    }
    SECTION(
        "of reports that differ under one sequence, all processes keep the same, in whatever order they come")
    {
        const std::vector<registration> reports{report_of("x", 5),
                                                report_of("x", 5, registration_state::draining),
                                                report_of("x", 5, registration_state::lost)};
        std::vector<std::size_t> order{0, 1, 2};
        do
        {
            registry other;
            for (const std::size_t index : order)
            {
                other.merge(reports.at(index), now);
            }
            CHECK(other.find(backend_server_name("x"))->state == registration_state::draining);
        } while (std::next_permutation(order.begin(), order.end()));
    }
    SECTION("no receipt is sent for a backend server that is lost")
    {
        known.on_heartbeat(report_of("a", 2), now);
        now = now + lost_after * 2.0;
        REQUIRE(known.expire(lost_after, now));
        (void)known.take_heartbeat_receipts();
        known.on_heartbeat(report_of("a", 2), now);
        CHECK(known.take_heartbeat_receipts().empty());
    }
    SECTION("two processes agree after they exchanged their lists")
    {
        registry other;
        known.on_heartbeat(report_of("b", 1), now);
        other.on_heartbeat(report_of("c", 1), now);
        other.on_heartbeat(report_of("a", 4, registration_state::draining), now);
        CHECK(known.digest() != other.digest());
        for (const registration& item : known.all(now))
        {
            other.merge(item, now);
        }
        for (const registration& item : other.all(now))
        {
            known.merge(item, now);
        }
        CHECK(known.digest() == other.digest());
        CHECK(known.present().size() == 3);
    }
    SECTION("backend servers missing from the full list of another process are lost, unless recent")
    {
        known.on_heartbeat(report_of("b", 1), now);
        now = now + duration::from_ms(3000);
        known.on_heartbeat(report_of("c", 1), now);
        CHECK(known.mark_unlisted_lost({report_of("b", 1)}, now));
        REQUIRE(known.present().size() == 2);
        CHECK(known.present()[0].id.str() == "b");
        CHECK(known.present()[1].id.str() == "c");
    }
}

TEST_CASE("a backend server that restarts under its name begins a new run", "[registration]")
{
    registry known;
    time_point now(duration::from_ms(1000));
    const auto report_a = [](std::int64_t born_ms, std::int64_t sequence, registration_state state)
    {
        registration item = report_of("a", sequence, state);
        item.born_ms = born_ms;
        return item;
    };
    known.on_heartbeat(report_a(100, 50, registration_state::draining), now);

    SECTION("its sequence starts over, and the state of the previous run no longer holds")
    {
        CHECK(known.on_heartbeat(report_a(200, 1, registration_state::ready), now));
        CHECK(known.present().at(0).state == registration_state::ready);
        CHECK_FALSE(known.on_heartbeat(report_a(100, 51, registration_state::draining), now));
        CHECK(known.present().at(0).born_ms == 200);
        CHECK(known.on_heartbeat(report_a(200, 2, registration_state::draining), now));
    }
    SECTION("a new run registers after the previous one deregistered or was lost")
    {
        known.on_leave(backend_server_name("a"), 0, now);
        CHECK_FALSE(known.on_heartbeat(report_a(100, 60, registration_state::ready), now));
        CHECK(known.on_heartbeat(report_a(200, 1, registration_state::ready), now));
        CHECK(known.present().size() == 1);
        now = now + lost_after * 2.0;
        CHECK(known.expire(lost_after, now));
        CHECK(known.on_heartbeat(report_a(300, 1, registration_state::ready), now));
        CHECK(known.present().size() == 1);
    }
    SECTION("a deregistration of the previous run doesn't end the new run")
    {
        known.on_heartbeat(report_a(200, 1, registration_state::ready), now);
        CHECK_FALSE(known.on_leave(backend_server_name("a"), 100, now));
        CHECK(known.present().size() == 1);
        CHECK(known.on_leave(backend_server_name("a"), 200, now));
        CHECK(known.present().empty());
    }
    SECTION("a heartbeat receipt of the previous run doesn't suppress reports of the new run")
    {
        known.on_heartbeat(report_a(200, 1, registration_state::ready), now);
        known.on_heartbeat_receipts({{backend_server_name("a"), 70, 100}}, now);
        CHECK(known.on_heartbeat(report_a(200, 2, registration_state::draining), now));
    }
    SECTION("a heartbeat receipt of the previous run is no sign of the new one")
    {
        registration previous = report_a(100, 70, registration_state::ready);
        known.on_heartbeat(report_a(200, 1, registration_state::ready), now);
        now = now + lost_after;
        CHECK(known.on_heartbeat_receipts({{previous.id, 70, 100, previous.status_digest()}}, now).empty());
        CHECK(known.expire(lost_after, now + duration::from_ms(1)));
    }
    SECTION("processes that know different runs have different digests")
    {
        registry other;
        other.on_heartbeat(report_a(200, 1, registration_state::draining), now);
        CHECK(other.digest() != known.digest());
    }
}

TEST_CASE("a change of a backend server's warm-up is passed on to other processes", "[registration]")
{
    registry known;
    time_point now(duration::from_ms(1000));
    std::int64_t sequence = 0;
    const auto send_warmup = [&](double warmup_ms)
    {
        registration report = report_of("a", ++sequence);
        report.warmup_left = duration::from_ms(warmup_ms);
        return known.on_heartbeat(report, now);
    };
    REQUIRE(send_warmup(3000.0));

    SECTION("a warm-up is passed on once while its end stays the same")
    {
        now = now + duration::from_ms(1200);
        CHECK_FALSE(send_warmup(1850.0));
        CHECK(known.all(now).at(0).warmup_left == duration::from_ms(1800));
        now = now + duration::from_ms(1900);
        CHECK_FALSE(send_warmup(0.0));
        CHECK(known.all(now).at(0).warmup_left == duration{});
    }
    SECTION("a warm-up is passed on again when it restarts or ends earlier")
    {
        now = now + duration::from_ms(1000);
        CHECK(send_warmup(0.0));
        CHECK_FALSE(send_warmup(0.0));
        now = now + duration::from_ms(9000);
        CHECK(send_warmup(2500.0));
        CHECK(send_warmup(6000.0));
    }
}
