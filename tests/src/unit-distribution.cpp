#include <flaxtiller/catalog/diff.hpp>
#include <flaxtiller/distribution/publisher.hpp>
#include <flaxtiller/distribution/subscriber.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace flaxtiller;
using namespace flaxtiller::distribution;

namespace
{

std::shared_ptr<const configuration> with_services(int count)
{
    configuration value;
    for (int i = 0; i < count; ++i)
    {
        service item;
        item.name = service_name("s" + std::to_string(i));
        value.services.emplace(item.name, item);
    }
    return std::make_shared<const configuration>(std::move(value));
}

const instance_name e1("e1");

} // namespace

TEST_CASE("a publisher brings revisions to a subscriber", "[distribution]")
{
    time_point now(duration::from_ms(1000));
    publisher sender;
    subscriber receiver;
    sender.on_revision(1, with_services(1));
    const auto deliver = [&]
    {
        sender.on_report(e1, receiver.report(), now);
        auto updates = sender.take_updates(now);
        for (const auto& item : updates)
        {
            receiver.on_update(*item.update);
        }
        return updates;
    };
    REQUIRE(deliver().at(0).update->base == 0);
    REQUIRE(receiver.revision() == 1);
    const std::uint64_t active_digest = receiver.report().digest;

    SECTION("further revisions are sent as patches that give the same configuration")
    {
        sender.on_revision(2, with_services(3));
        sender.on_revision(3, with_services(2));
        const auto updates = deliver();
        REQUIRE(updates.size() == 1);
        CHECK(updates[0].update->base == 1);
        CHECK(receiver.revision() == 3);
        CHECK(*receiver.current() == *with_services(2));
    }

    SECTION("an instance whose revision is no longer kept gets the complete document")
    {
        for (int i = 2; i < 2 + static_cast<int>(publisher::max_retained_revisions) + 5; ++i)
        {
            sender.on_revision(i, with_services(i));
        }
        CHECK(deliver().at(0).update->base == 0);
        CHECK(receiver.revision() == sender.revision());
    }

    SECTION("instances with the same revision share one update object")
    {
        sender.on_revision(2, with_services(2));
        sender.on_report(e1, receiver.report(), now);
        constexpr int followers = 300;
        std::set<const revision_update*> distinct;
        for (int i = 1; i < followers; ++i)
        {
            sender.on_report(instance_name("f" + std::to_string(i)), revision_report{1, active_digest, false},
                             now);
        }
        const auto updates = sender.take_updates(now);
        for (const auto& item : updates)
        {
            distinct.insert(item.update.get());
        }
        CHECK(updates.size() == followers);
        CHECK(distinct.size() == 1);
    }

    SECTION("a lost update is repeated")
    {
        sender.on_revision(2, with_services(2));
        sender.on_report(e1, receiver.report(), now);
        REQUIRE(sender.take_updates(now).size() == 1);
        CHECK(sender.take_updates(now).empty());
        now = now + publisher::resend_after;
        // Only a report shows that the instance is running and lacks the update.
        CHECK(sender.take_updates(now).empty());
        sender.on_report(e1, receiver.report(), now);
        CHECK(sender.take_updates(now).size() == 1);
    }

    SECTION("an outdated replica or relay cannot return an instance to a smaller revision")
    {
        publisher outdated = sender;
        sender.on_revision(2, with_services(2));
        (void)deliver();
        const time_point later = now + publisher::resend_after;
        outdated.on_report(e1, revision_report{0, 0, true}, later);
        const auto old = outdated.take_updates(later);
        REQUIRE(old.size() == 1);
        CHECK_FALSE(receiver.on_update(*old[0].update));
        CHECK(receiver.revision() == 2);
    }

    SECTION("a patch whose result has another digest is refused, and the complete document is requested")
    {
        sender.on_revision(2, with_services(2));
        sender.on_report(e1, receiver.report(), now);
        revision_update corrupted = *sender.take_updates(now).at(0).update;
        corrupted.digest ^= 1U;
        CHECK_FALSE(receiver.on_update(corrupted));
        CHECK(receiver.revision() == 1);
        CHECK(receiver.report().needs_whole);
        now = now + publisher::resend_after;
        CHECK(deliver().at(0).update->base == 0);
        CHECK(receiver.revision() == 2);
    }

    SECTION("the configuration of another deployment never replaces the active one")
    {
        configuration own = *with_services(2);
        own.key_secret = "own";
        sender.on_revision(2, std::make_shared<const configuration>(own));
        (void)deliver();
        REQUIRE(receiver.current()->key_secret == "own");
        configuration foreign = own;
        foreign.key_secret = GENERATE("foreign", "");
        CHECK_FALSE(receiver.on_update({9, 0, foreign.digest(), foreign}));
        CHECK_FALSE(receiver.on_update({9, 2, foreign.digest(), diff(own, foreign)}));
        CHECK(receiver.revision() == 2);
        CHECK(*receiver.current() == own);
    }

    SECTION("an instance is confirmed only after a leader confirmed its revision")
    {
        CHECK_FALSE(receiver.is_confirmed());
        receiver.on_confirmation({2}, now);
        CHECK_FALSE(receiver.is_confirmed());
        sender.on_revision(2, with_services(2));
        (void)deliver();
        CHECK(receiver.is_confirmed());
        CHECK_FALSE(receiver.age(now).has_value());
        receiver.on_confirmation({2}, now);
        CHECK(receiver.age(now + duration::from_ms(40)) == duration::from_ms(40));
    }

    // Guards against an instance that lags, and counts as confirmed by what the leader says of later
    // revisions.
    SECTION("the confirmation of a later revision does not renew that of the active one")
    {
        receiver.on_confirmation({1}, now);
        REQUIRE(receiver.age(now) == duration{});
        receiver.on_confirmation({2}, now + duration::from_ms(40));
        CHECK(receiver.age(now + duration::from_ms(40)) == duration::from_ms(40));
    }

    SECTION("the confirmation of revision 0 does not confirm an instance")
    {
        subscriber fresh;
        fresh.on_confirmation({0}, now);
        CHECK_FALSE(fresh.is_confirmed());
    }
}

// Guards against an update that is lost with its link and sent again only after its resend timeout.
TEST_CASE("an update in transit is sent again once its link was lost", "[distribution]")
{
    time_point now(duration::from_ms(1000));
    publisher sender;
    const subscriber receiver;
    sender.on_revision(1, with_services(1));
    sender.on_report(e1, receiver.report(), now);
    REQUIRE(sender.take_updates(now).size() == 1);
    now = now + duration::from_ms(100);
    sender.on_report(e1, receiver.report(), now);
    REQUIRE(sender.take_updates(now).empty());
    sender.on_link_lost(e1);
    sender.on_report(e1, receiver.report(), now);
    CHECK(sender.take_updates(now).size() == 1);
}

TEST_CASE("an instance that follows another replica gets no updates", "[distribution]")
{
    const time_point now(duration::from_ms(1000));
    publisher sender;
    sender.on_revision(1, with_services(1));
    revision_report sent_report;
    sent_report.wants_updates = false;
    sender.on_report(e1, sent_report, now);
    CHECK(sender.take_updates(now).empty());
    CHECK(sender.reporting_since(now) == 1);
    sent_report.wants_updates = true;
    sender.on_report(e1, sent_report, now);
    CHECK(sender.take_updates(now).size() == 1);
}

TEST_CASE("updates are sent only to instances that report and follow", "[distribution]")
{
    time_point now(duration::from_ms(1000));
    publisher sender;
    sender.on_revision(1, with_services(1));
    const auto sent_within = [&](double ms, bool reports)
    {
        std::size_t count = 0;
        constexpr double tick_ms = 100.0;
        constexpr double report_ms = 1000.0;
        double since_report = 0.0;
        for (double passed = 0.0; passed < ms; passed += tick_ms)
        {
            now = now + duration::from_ms(tick_ms);
            since_report += tick_ms;
            if (reports && since_report >= report_ms)
            {
                sender.on_report(e1, {0, 0}, now);
                since_report = 0.0;
            }
            count += sender.take_updates(now).size();
        }
        return count;
    };
    sender.on_report(e1, {0, 0}, now);

    SECTION("an instance that stopped reporting gets no further updates")
    {
        CHECK(sent_within(60000, false) == 1);
        sender.on_revision(2, with_services(2));
        CHECK(sent_within(60000, false) == 0);
    }
    SECTION("an instance that is slow to activate an update gets few repetitions")
    {
        CHECK(sent_within(30000, true) <= 5);
    }
    SECTION("an instance that returns gets an update at once")
    {
        CHECK(sent_within(60000, false) == 1);
        sender.on_report(e1, {0, 0}, now);
        CHECK(sender.take_updates(now).size() == 1);
    }
}

TEST_CASE("the digest of a patched configuration can be computed from the items that the patch changes",
          "[distribution]")
{
    configuration before = *with_services(4);
    route moved;
    moved.name = "r";
    moved.host = "h";
    moved.path_prefix = "/a/";
    moved.targets = {{service_name("s0"), 1}};
    before.routes.emplace(moved.name, moved);
    before.version = 3;

    configuration after = before;
    after.services.erase(service_name("s1"));
    after.routes.at("r").path_prefix = "/b/";
    after.limits.body_bytes = 77;
    after.version = 4;
    service fresh;
    fresh.name = service_name("s9");
    after.services.emplace(fresh.name, fresh);

    const nlohmann::json patch = diff(before, after);
    findings found;
    const configuration patched = apply_patch(before, patch, found);
    REQUIRE_FALSE(found.has_errors());
    CHECK(patched == after);
    CHECK(digest_after(before, before.digest(), patched, patch) == after.digest());
    CHECK(before.digest() != after.digest());
}
