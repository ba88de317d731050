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

TEST_CASE("a revision on its way to an instance", "[distribution]")
{
    time_point now(duration::from_ms(1000));
    publisher up;
    subscriber down;
    up.on_revision(1, with_services(1));
    const auto carry = [&]
    {
        up.on_report(e1, down.report(), now);
        auto updates = up.take_updates(now);
        for (const auto& item : updates)
        {
            down.on_update(*item.update);
        }
        return updates;
    };
    REQUIRE(carry().at(0).update->base == 0);
    REQUIRE(down.revision() == 1);
    const std::uint64_t up_digest = down.report().digest;

    SECTION("the next revisions travel as patches and come out the same")
    {
        up.on_revision(2, with_services(3));
        up.on_revision(3, with_services(2));
        const auto updates = carry();
        REQUIRE(updates.size() == 1);
        CHECK(updates[0].update->base == 1);
        CHECK(down.revision() == 3);
        CHECK(*down.current() == *with_services(2));
    }

    SECTION("an instance too far behind gets the whole document")
    {
        for (int i = 2; i < 2 + static_cast<int>(publisher::revisions_kept) + 5; ++i)
        {
            up.on_revision(i, with_services(i));
        }
        CHECK(carry().at(0).update->base == 0);
        CHECK(down.revision() == up.revision());
    }

    SECTION("all instances that have the same get one and the same update")
    {
        up.on_revision(2, with_services(2));
        up.on_report(e1, down.report(), now);
        constexpr int followers = 300;
        std::set<const revision_update*> made;
        for (int i = 1; i < followers; ++i)
        {
            up.on_report(instance_name("f" + std::to_string(i)), revision_report{1, up_digest, false}, now);
        }
        const auto updates = up.take_updates(now);
        for (const auto& item : updates)
        {
            made.insert(item.update.get());
        }
        CHECK(updates.size() == followers);
        CHECK(made.size() == 1);
    }

    SECTION("a lost update is sent again")
    {
        up.on_revision(2, with_services(2));
        up.on_report(e1, down.report(), now);
        REQUIRE(up.take_updates(now).size() == 1);
        CHECK(up.take_updates(now).empty());
        now = now + publisher::resend_after;
        // Only its word shows that it lives and hasn't got it.
        CHECK(up.take_updates(now).empty());
        up.on_report(e1, down.report(), now);
        CHECK(up.take_updates(now).size() == 1);
    }

    SECTION("a stale replica or relay can't bring an instance back to a smaller revision")
    {
        publisher stale = up;
        up.on_revision(2, with_services(2));
        (void)carry();
        const time_point later = now + publisher::resend_after;
        stale.on_report(e1, revision_report{0, 0, true}, later);
        const auto old = stale.take_updates(later);
        REQUIRE(old.size() == 1);
        CHECK_FALSE(down.on_update(*old[0].update));
        CHECK(down.revision() == 2);
    }

    SECTION("a patch that comes out otherwise is refused, and the whole document asked for")
    {
        up.on_revision(2, with_services(2));
        up.on_report(e1, down.report(), now);
        revision_update bent = *up.take_updates(now).at(0).update;
        bent.digest ^= 1U;
        CHECK_FALSE(down.on_update(bent));
        CHECK(down.revision() == 1);
        CHECK(down.report().needs_whole);
        now = now + publisher::resend_after;
        CHECK(carry().at(0).update->base == 0);
        CHECK(down.revision() == 2);
    }

    SECTION("it serves only once a leader confirmed its revision")
    {
        CHECK_FALSE(down.is_confirmed());
        down.on_confirmation({2}, now);
        CHECK_FALSE(down.is_confirmed());
        up.on_revision(2, with_services(2));
        (void)carry();
        CHECK(down.is_confirmed());
        CHECK_FALSE(down.age(now).has_value());
        down.on_confirmation({2}, now);
        CHECK(down.age(now + duration::from_ms(40)) == duration::from_ms(40));
    }

    SECTION("an empty cluster confirms nothing")
    {
        subscriber fresh;
        fresh.on_confirmation({0}, now);
        CHECK_FALSE(fresh.is_confirmed());
    }
}

TEST_CASE("an instance that follows another replica gets no updates", "[distribution]")
{
    const time_point now(duration::from_ms(1000));
    publisher up;
    up.on_revision(1, with_services(1));
    revision_report word;
    word.wants_updates = false;
    up.on_report(e1, word, now);
    CHECK(up.take_updates(now).empty());
    CHECK(up.heard_since(now) == 1);
    word.wants_updates = true;
    up.on_report(e1, word, now);
    CHECK(up.take_updates(now).size() == 1);
}

TEST_CASE("updates go only to instances that live and follow", "[distribution]")
{
    time_point now(duration::from_ms(1000));
    publisher up;
    up.on_revision(1, with_services(1));
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
                up.on_report(e1, {0, 0}, now);
                since_report = 0.0;
            }
            count += up.take_updates(now).size();
        }
        return count;
    };
    up.on_report(e1, {0, 0}, now);

    SECTION("one that left without a word, as its last report was lost")
    {
        CHECK(sent_within(60000, false) == 1);
        up.on_revision(2, with_services(2));
        CHECK(sent_within(60000, false) == 0);
    }
    SECTION("one that lives, but is too slow to put it in force, isn't flooded")
    {
        CHECK(sent_within(30000, true) <= 5);
    }
    SECTION("one that comes back is told at once")
    {
        CHECK(sent_within(60000, false) == 1);
        up.on_report(e1, {0, 0}, now);
        CHECK(up.take_updates(now).size() == 1);
    }
}

TEST_CASE("the digest of a patched configuration costs only what the patch touches", "[distribution]")
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
