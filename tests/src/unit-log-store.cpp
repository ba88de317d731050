#include "faulty_file_system.hpp"

#include <flaxtiller/catalog/catalog_state.hpp>
#include <flaxtiller/quorum/replicated_state_machine.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::quorum;
using flaxtiller::test::faulty_file_system;

namespace
{

using test_store = log_store<faulty_file_system>;

const replica_name c1("c1");

output output_with_entries(log_index from, int count)
{
    output changes;
    changes.hard = hard_state{3, c1, from};
    for (int i = 0; i < count; ++i)
    {
        log_entry entry;
        entry.index = from + i;
        entry.term = 3;
        entry.command = "command " + std::to_string(from + i);
        changes.append.push_back(entry);
    }
    return changes;
}

} // namespace

TEST_CASE("the log store reads back its files", "[quorum][storage]")
{
    faulty_file_system files;
    std::string warning;
    test_store first(files, "c1");
    REQUIRE_FALSE(first.open(c1, 77, warning));
    REQUIRE_FALSE(first.write(output_with_entries(1, 5)));

    SECTION("synced data is present after a loss of power")
    {
        files.lose_power();
        test_store again(files, "c1");
        REQUIRE_FALSE(again.open(c1, 99, warning));
        CHECK(again.identity().incarnation == 77);
        CHECK(again.state().entries.size() == 5);
        CHECK(again.state().hard == hard_state{3, c1, 1});
        CHECK(warning.empty());
    }

    SECTION("an incomplete record at the end of the file is discarded and reported")
    {
        files.fail_syncs = true;
        REQUIRE(first.write(output_with_entries(6, 1)) == make_error_code(errc::storage_failed));
        files.fail_syncs = false;
        const std::size_t kept_bytes = GENERATE(1, 10, 16, 17, 18, 40, 100);
        files.lose_power(kept_bytes);
        test_store again(files, "c1");
        REQUIRE_FALSE(again.open(c1, 99, warning));
        CHECK(again.state().entries.size() == 5);
        CHECK_FALSE(warning.empty());
    }

    SECTION("a flipped bit is distinguished from an incomplete record and refused")
    {
        const std::string intact = files.newest_bytes();
        const auto position = GENERATE(range(0, 600, 7));
        if (static_cast<std::size_t>(position) < intact.size())
        {
            files.newest_bytes()[static_cast<std::size_t>(position)] ^= 0x10;
            test_store again(files, "c1");
            CHECK(again.open(c1, 99, warning) == make_error_code(errc::storage_corrupt));
        }
    }

    SECTION("a folder of another replica is refused")
    {
        test_store again(files, "c1");
        CHECK(again.open(replica_name("c2"), 99, warning) == make_error_code(errc::storage_foreign));
    }

    SECTION("truncated entries remain removed after reopening")
    {
        output changes = output_with_entries(4, 1);
        changes.truncate_from = 4;
        changes.append.front().term = 9;
        REQUIRE_FALSE(first.write(changes));
        test_store again(files, "c1");
        REQUIRE_FALSE(again.open(c1, 99, warning));
        REQUIRE(again.state().entries.size() == 4);
        CHECK(again.state().entries.back().term == 9);
    }

    SECTION("compaction leaves one file with the snapshot and the entries after it")
    {
        snapshot base;
        base.last_index = 3;
        base.last_term = 3;
        base.state = "state";
        REQUIRE_FALSE(first.compact(base));
        test_store again(files, "c1");
        REQUIRE_FALSE(again.open(c1, 99, warning));
        CHECK(again.state().base == base);
        CHECK(again.state().entries.size() == 2);
        CHECK(files.files.size() == 1);
    }

    SECTION("an unreadable folder is not treated as an empty folder")
    {
        files.fail_reads = true;
        test_store again(files, "c1");
        CHECK(again.open(c1, 99, warning) == make_error_code(errc::storage_failed));
    }
}

TEST_CASE("a replica handles a failing disk", "[quorum][storage]")
{
    using state_machine = replicated_state_machine<catalog_state, faulty_file_system>;
    faulty_file_system files;
    time_point now(duration::from_ms(1000));
    state_machine node(files, "c1", c1, timing{});
    REQUIRE_FALSE(node.open(7, 1, now));
    REQUIRE_FALSE(node.found(now));
    const auto send = [](const message&) {};
    const auto advance = [&](int ms)
    {
        for (int i = 0; i < ms; i += 10)
        {
            now = now + duration::from_ms(10);
            node.tick(now);
            node.pump(send, now);
        }
    };
    std::map<std::string, std::error_code> results;
    const auto propose_change = [&](const std::string& id, std::int64_t base)
    {
        change request;
        request.id = change_id(id);
        request.base_revision = base;
        request.body = nlohmann::json::object();
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json(request), bytes);
        node.propose(
            bytes,
            [&results, id](std::error_code error, const std::string&)
            {
                results[id] = error;
            },
            now);
        node.pump(send, now);
    };
    advance(1500);
    REQUIRE(node.is_authoritative(now));
    propose_change("first", 0);
    REQUIRE(results.count("first") == 1);
    REQUIRE_FALSE(results["first"]);

    SECTION("with a full disk the change is refused, and the replica recovers once writes succeed")
    {
        files.fail_writes = true;
        propose_change("second", 1);
        CHECK(results["second"] == make_error_code(errc::not_committed));
        CHECK(node.storage_error() == make_error_code(errc::storage_failed));
        CHECK_FALSE(node.is_authoritative(now));
        advance(3000);
        CHECK_FALSE(node.is_authoritative(now));
        files.fail_writes = false;
        advance(4000);
        REQUIRE(node.is_authoritative(now));
        CHECK_FALSE(node.storage_error());
        CHECK(node.state().revision() == 1);
        propose_change("second", 1);
        CHECK_FALSE(results["second"]);
        CHECK(node.state().revision() == 2);
    }

    SECTION("after a failed sync the change is not acknowledged and the file is replaced")
    {
        files.fail_syncs = true;
        propose_change("second", 1);
        CHECK(results["second"] == make_error_code(errc::not_committed));
        const std::string failed_file = files.files.rbegin()->first;
        files.fail_syncs = false;
        advance(4000);
        REQUIRE(node.is_authoritative(now));
        CHECK(files.files.count(failed_file) == 0);
        propose_change("second", 1);
        CHECK_FALSE(results["second"]);
        CHECK(node.state().revision() == 2);
    }

    SECTION("commands that are proposed together share one sync")
    {
        const std::size_t before = files.syncs;
        for (int i = 0; i < 50; ++i)
        {
            change request;
            request.id = change_id("burst " + std::to_string(i));
            request.base_revision = 1 + i;
            request.body = nlohmann::json::object();
            std::string bytes;
            nlohmann::json::to_cbor(nlohmann::json(request), bytes);
            node.propose(
                bytes, [](std::error_code, const std::string&) {}, now);
        }
        node.pump(send, now);
        CHECK(node.state().revision() == 51);
        CHECK(files.syncs - before == 1);
    }

    SECTION("a restart after thousands of changes reads a snapshot and a short log")
    {
        for (int i = 0; i < 5000; ++i)
        {
            propose_change("change " + std::to_string(i), 1 + i);
        }
        REQUIRE(node.state().revision() == 5001);
        state_machine again(files, "c1", c1, timing{});
        REQUIRE_FALSE(again.open(7, 1, now));
        const auto& log = again.node()->log();
        CHECK(log.last_index() - log.first_index() < state_machine::compact_after);
        // A repeated change whose first entry was compacted still receives its first result.
        catalog_state restored = again.state();
        change repeated;
        repeated.id = change_id("change 17");
        CHECK(restored.apply(repeated).revision == 19);
    }
}
