#include <flaxtiller/distribution/leader_contact.hpp>
#include <flaxtiller/distribution/member_list_proof.hpp>
#include <flaxtiller/distribution/replica_discovery.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace flaxtiller;
using distribution::leader_contact;
using distribution::replica_discovery;

namespace
{

std::set<std::string> named(std::size_t count)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
    {
        names.insert("e" + std::to_string(i));
    }
    return names;
}

const time_point start(duration::from_ms(1000));
const duration tick = duration::from_ms(1);

} // namespace

TEST_CASE("an instance without confirmations or control replicas has lost contact", "[distribution]")
{
    leader_contact contact(start);
    const duration interval = duration::from_ms(1000);
    const duration silence = interval * leader_contact::missed_reports_until_lost;

    SECTION("a start isn't a loss until confirmations are overdue")
    {
        contact.set_replica_reachable(false, start);
        CHECK_FALSE(contact.is_lost(start + silence - tick));
        CHECK(contact.is_lost(start + silence));
    }

    contact.on_confirmation(interval, start);

    SECTION("a reachable replica doesn't stand in for the leader's confirmations")
    {
        contact.set_replica_reachable(true, start);
        CHECK_FALSE(contact.is_lost(start + silence - tick));
        CHECK(contact.is_lost(start + silence));
        contact.on_confirmation(interval, start + silence);
        CHECK_FALSE(contact.is_lost(start + silence));
    }
    SECTION("without a reachable replica contact is lost before confirmations are overdue")
    {
        contact.set_replica_reachable(false, start);
        contact.set_replica_reachable(false, start + tick);
        CHECK_FALSE(contact.is_lost(start + leader_contact::unreachable_until_lost - tick));
        CHECK(contact.is_lost(start + leader_contact::unreachable_until_lost));
        contact.set_replica_reachable(true, start + leader_contact::unreachable_until_lost);
        CHECK_FALSE(contact.is_lost(start + leader_contact::unreachable_until_lost));
    }
    SECTION("a followed replica that names no leader doesn't keep contact, whatever the report interval")
    {
        contact.set_replica_reachable(true, start);
        contact.on_confirmation(interval * 10.0, start);
        contact.on_followed_replica(false, start);
        contact.on_followed_replica(false, start + tick);
        CHECK_FALSE(contact.is_lost(start + leader_contact::leaderless_until_lost - tick));
        CHECK(contact.is_lost(start + leader_contact::leaderless_until_lost));
        contact.on_followed_replica(true, start + leader_contact::leaderless_until_lost);
        CHECK_FALSE(contact.is_lost(start + leader_contact::leaderless_until_lost));
    }
    SECTION("a leader of many instances that wants fewer reports isn't lost earlier")
    {
        contact.on_confirmation(interval * 4.0, start);
        CHECK_FALSE(contact.is_lost(start + silence * 4.0 - tick));
    }
}

TEST_CASE("a process without a leader asks a few peers at a time, and all of them in the end",
          "[distribution]")
{
    replica_discovery discovery(7);
    time_point now = start;

    SECTION("a round asks a few peers once")
    {
        CHECK(discovery.choose(named(20), 1, now).size() == replica_discovery::peers_per_round);
        CHECK(discovery.choose(named(20), 2, now + tick).empty());
        CHECK(discovery.number() == 1);
    }
    SECTION("a peer that becomes reachable is asked without waiting for the next round")
    {
        CHECK(discovery.choose({}, 1, now).empty());
        CHECK_FALSE(discovery.is_choice_due(now + tick));
        now = now + replica_discovery::choice_interval;
        CHECK(discovery.is_choice_due(now));
        CHECK(discovery.choose({"e1"}, 2, now) == std::vector<std::string>{"e1"});
        CHECK(discovery.number() == 1);
    }
    SECTION("all of a thousand peers are asked in the end")
    {
        std::set<std::string> asked;
        for (std::uint64_t round = 1; round <= 4000; ++round)
        {
            for (const std::string& peer : discovery.choose(named(1000), round, now))
            {
                asked.insert(peer);
            }
            now = now + replica_discovery::round_interval;
        }
        CHECK(asked.size() == 1000);
    }
    SECTION("only replies to the requests of this round and the previous one are awaited")
    {
        REQUIRE(discovery.choose({"e1"}, 11, now).size() == 1);
        CHECK(discovery.is_awaited("e1", 11));
        CHECK_FALSE(discovery.is_awaited("e2", 11));
        CHECK_FALSE(discovery.is_awaited("e1", 12));
        now = now + replica_discovery::round_interval;
        REQUIRE(discovery.choose({"e1"}, 12, now).size() == 1);
        CHECK(discovery.is_awaited("e1", 11));
        now = now + replica_discovery::round_interval;
        REQUIRE(discovery.choose({"e1"}, 13, now).size() == 1);
        CHECK_FALSE(discovery.is_awaited("e1", 11));
    }
    SECTION("nothing is awaited once the search has ended")
    {
        REQUIRE(discovery.choose({"e1"}, 11, now).size() == 1);
        discovery.end();
        CHECK_FALSE(discovery.is_awaited("e1", 11));
        CHECK_FALSE(discovery.is_awaited("e1", 0));
    }
    SECTION("peers that don't answer a dial are followed by others")
    {
        const auto first = discovery.choose_peers_to_dial(named(200), now);
        CHECK(first.size() == replica_discovery::peers_per_round);
        CHECK_FALSE(discovery.is_dial_due(0, now + tick));
        CHECK(discovery.is_dial_due(0, now + replica_discovery::dial_interval));
        CHECK_FALSE(discovery.is_dial_due(replica_discovery::peers_per_round,
                                          now + replica_discovery::dial_interval));
        CHECK(discovery.choose_peers_to_dial(named(200), now + replica_discovery::dial_interval) != first);
    }
}

TEST_CASE("no entry is asked by many when all entries of a large deployment search at once", "[distribution]")
{
    // Chosen independently, a peer is asked by peers_per_round others in the mean; the bound allows for
    // chance.
    const std::size_t entries = GENERATE(995, 3300);
    const std::size_t most_asked = replica_discovery::peers_per_round * 6;
    const std::set<std::string> all = named(entries);
    std::map<std::string, std::size_t> asked;
    std::size_t requests = 0;
    for (std::size_t i = 0; i < entries; ++i)
    {
        replica_discovery discovery(i + 1);
        for (const std::string& peer : discovery.choose(all, 1, start))
        {
            ++asked[peer];
            ++requests;
        }
    }
    CHECK(requests == entries * replica_discovery::peers_per_round);
    for (const auto& [peer, times] : asked)
    {
        CAPTURE(peer);
        CHECK(times <= most_asked);
    }
}

TEST_CASE("a list of control replicas is proved by the secret of the deployment", "[distribution]")
{
    using distribution::is_member_list_proved;
    const std::vector<std::string> names{"10.0.0.1:7", "10.0.0.2:7"};
    const std::string proof = distribution::member_list_proof("secret", 5, names);

    CHECK(is_member_list_proved("secret", 5, names, proof));
    SECTION("another deployment's proof, number or names are refused")
    {
        CHECK_FALSE(is_member_list_proved("other", 5, names, proof));
        CHECK_FALSE(is_member_list_proved("secret", 6, names, proof));
        CHECK_FALSE(is_member_list_proved("secret", 5, {"10.0.0.1:7"}, proof));
        CHECK_FALSE(is_member_list_proved("secret", 5, names, ""));
    }
    SECTION("without a secret nothing is proved")
    {
        CHECK(distribution::member_list_proof("", 5, names).empty());
        CHECK_FALSE(is_member_list_proved("", 5, names, ""));
    }
}
