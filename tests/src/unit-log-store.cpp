#include "faulty_file_system.hpp"

#include <flaxtiller/catalog/catalog_state.hpp>
#include <flaxtiller/quorum/replicated_state_machine.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::quorum;
using flaxtiller::test::faulty_file_system;

namespace
{

using store = log_store<faulty_file_system>;

const replica_name c1("c1");

output entries(log_index from, int count)
{
    output wanted;
    wanted.hard = hard_state{3, c1, from};
    for (int i = 0; i < count; ++i)
    {
        log_entry entry;
        entry.index = from + i;
        entry.term = 3;
        entry.command = "command " + std::to_string(from + i);
        wanted.append.push_back(entry);
    }
    return wanted;
}

} // namespace

TEST_CASE("the log's files", "[quorum][storage]")
{
    faulty_file_system files;
    std::string warning;
    store first(files, "c1");
    REQUIRE_FALSE(first.open(c1, 77, warning));
    REQUIRE_FALSE(first.write(entries(1, 5)));

    SECTION("what was synced is there after the machine stopped")
    {
        files.stop_machine();
        store again(files, "c1");
        REQUIRE_FALSE(again.open(c1, 99, warning));
        CHECK(again.identity().incarnation == 77);
        CHECK(again.state().entries.size() == 5);
        CHECK(again.state().hard == hard_state{3, c1, 1});
        CHECK(warning.empty());
    }

    SECTION("a torn tail is cut off and reported, wherever it was torn")
    {
        files.fail_syncs = true;
        REQUIRE(first.write(entries(6, 1)) == make_error_code(errc::storage_failed));
        files.fail_syncs = false;
        const std::size_t kept = GENERATE(1, 10, 16, 17, 18, 40, 100);
        files.stop_machine(kept);
        store again(files, "c1");
        REQUIRE_FALSE(again.open(c1, 99, warning));
        CHECK(again.state().entries.size() == 5);
        CHECK_FALSE(warning.empty());
    }

    SECTION("any flipped bit is told apart from a torn tail and refused")
    {
        const std::string intact = files.newest_bytes();
        const auto at = GENERATE(range(0, 600, 7));
        if (static_cast<std::size_t>(at) < intact.size())
        {
            files.newest_bytes()[static_cast<std::size_t>(at)] ^= 0x10;
            store again(files, "c1");
            CHECK(again.open(c1, 99, warning) == make_error_code(errc::storage_corrupt));
        }
    }

    SECTION("a folder copied from another replica is refused")
    {
        store again(files, "c1");
        CHECK(again.open(replica_name("c2"), 99, warning) == make_error_code(errc::storage_foreign));
    }

    SECTION("a truncated suffix stays truncated")
    {
        output wanted = entries(4, 1);
        wanted.truncate_from = 4;
        wanted.append.front().term = 9;
        REQUIRE_FALSE(first.write(wanted));
        store again(files, "c1");
        REQUIRE_FALSE(again.open(c1, 99, warning));
        REQUIRE(again.state().entries.size() == 4);
        CHECK(again.state().entries.back().term == 9);
    }

    SECTION("compaction keeps the entries after the snapshot and one file")
    {
        snapshot base;
        base.last_index = 3;
        base.last_term = 3;
        base.state = "state";
        REQUIRE_FALSE(first.compact(base));
        store again(files, "c1");
        REQUIRE_FALSE(again.open(c1, 99, warning));
        CHECK(again.state().base == base);
        CHECK(again.state().entries.size() == 2);
        CHECK(files.files.size() == 1);
    }

    SECTION("a folder that can't be read isn't taken for an empty one")
    {
        files.fail_reads = true;
        store again(files, "c1");
        CHECK(again.open(c1, 99, warning) == make_error_code(errc::storage_failed));
    }
}

TEST_CASE("a replica on a failing disk", "[quorum][storage]")
{
    using machine = replicated_state_machine<catalog_state, faulty_file_system>;
    faulty_file_system files;
    time_point now(duration::from_ms(1000));
    machine node(files, "c1", c1, timing{});
    REQUIRE_FALSE(node.open(7, 1, now));
    REQUIRE_FALSE(node.found(now));
    const auto send = [](const message&) {};
    const auto pass = [&](int ms)
    {
        for (int i = 0; i < ms; i += 10)
        {
            now = now + duration::from_ms(10);
            node.tick(now);
            node.pump(send, now);
        }
    };
    std::map<std::string, std::error_code> told;
    const auto apply = [&](const std::string& id, std::int64_t base)
    {
        change wanted;
        wanted.id = change_id(id);
        wanted.base_revision = base;
        wanted.body = nlohmann::json::object();
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json(wanted), bytes);
        node.propose(
            bytes,
            [&told, id](std::error_code failed, const std::string&)
            {
                told[id] = failed;
            },
            now);
        node.pump(send, now);
    };
    pass(1500);
    REQUIRE(node.is_authoritative(now));
    apply("first", 0);
    REQUIRE(told.count("first") == 1);
    REQUIRE_FALSE(told["first"]);

    SECTION("a full disk: the change isn't accepted, the process goes on, and heals")
    {
        files.fail_writes = true;
        apply("second", 1);
        CHECK(told["second"] == make_error_code(errc::not_committed));
        CHECK(node.storage_error() == make_error_code(errc::storage_failed));
        CHECK_FALSE(node.is_authoritative(now));
        pass(3000);
        CHECK_FALSE(node.is_authoritative(now));
        files.fail_writes = false;
        pass(4000);
        REQUIRE(node.is_authoritative(now));
        CHECK_FALSE(node.storage_error());
        CHECK(node.state().revision() == 1);
        apply("second", 1);
        CHECK_FALSE(told["second"]);
        CHECK(node.state().revision() == 2);
    }

    SECTION("a failed sync: nothing is acknowledged, and the file that failed isn't trusted again")
    {
        files.fail_syncs = true;
        apply("second", 1);
        CHECK(told["second"] == make_error_code(errc::not_committed));
        const std::string suspect = files.files.rbegin()->first;
        files.fail_syncs = false;
        pass(4000);
        REQUIRE(node.is_authoritative(now));
        CHECK(files.files.count(suspect) == 0);
        apply("second", 1);
        CHECK_FALSE(told["second"]);
        CHECK(node.state().revision() == 2);
    }

    SECTION("commands that arrive together share one sync")
    {
        const std::size_t before = files.syncs;
        for (int i = 0; i < 50; ++i)
        {
            change wanted;
            wanted.id = change_id("burst " + std::to_string(i));
            wanted.base_revision = 1 + i;
            wanted.body = nlohmann::json::object();
            std::string bytes;
            nlohmann::json::to_cbor(nlohmann::json(wanted), bytes);
            node.propose(
                bytes, [](std::error_code, const std::string&) {}, now);
        }
        node.pump(send, now);
        CHECK(node.state().revision() == 51);
        CHECK(files.syncs - before == 1);
    }

    SECTION("it restarts after thousands of changes from a snapshot and a short log")
    {
        for (int i = 0; i < 5000; ++i)
        {
            apply("change " + std::to_string(i), 1 + i);
        }
        REQUIRE(node.state().revision() == 5001);
        machine again(files, "c1", c1, timing{});
        REQUIRE_FALSE(again.open(7, 1, now));
        const auto& log = again.node()->log();
        CHECK(log.last_index() - log.first_index() < machine::compact_after);
        // A change from before the snapshot, sent again, still gets its first result.
        catalog_state restored = again.state();
        change repeated;
        repeated.id = change_id("change 17");
        CHECK(restored.apply(repeated).revision == 19);
    }
}
