#include <flaxtiller/query/query_execution.hpp>
#include <flaxtiller/query/query_request.hpp>

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace flaxtiller;

namespace
{

const index_version v1("1");
const index_version v2("2");

subquery_result answered(int shard, const index_version& version, const std::string& text = "x")
{
    subquery_result result;
    result.shard = shard;
    result.outcome = outcome::run;
    result.version = version;
    result.held_versions = {version};
    result.body = std::make_shared<const std::string>(text);
    return result;
}

subquery_result missing(int shard, missing_reason reason, outcome reported = outcome::not_run)
{
    subquery_result result;
    result.shard = shard;
    result.outcome = reported;
    result.reason = reason;
    return result;
}

} // namespace

TEST_CASE("the execution of a query", "[query]")
{
    version_availability view;
    query_execution query({0, 1, 2}, 7, 100);

    SECTION("gives a complete answer when all shards answered at one version")
    {
        for (int shard = 0; shard < 3; ++shard)
        {
            view.set_versions(shard, {v1});
        }
        query.start(view);
        const auto parts = query.take_parts();
        REQUIRE(parts.size() == 3);
        for (const auto& part : parts)
        {
            CHECK(part.version == v1);
            CHECK(query.on_result(part.number, answered(part.shard, v1), view));
        }
        REQUIRE(query.answer());
        CHECK(query.answer()->is_complete());
        CHECK(query.answer()->version == v1);
        CHECK(query.answer()->revision == 7);
    }

    SECTION("starts without a version if none is known, and repeats parts whose versions differ")
    {
        query.start(view);
        const auto parts = query.take_parts();
        CHECK(parts[0].version.empty());
        view.set_versions(0, {v1, v2});
        view.set_versions(1, {v1});
        view.set_versions(2, {v1});
        (void)query.on_result(parts[0].number, answered(0, v2), view);
        (void)query.on_result(parts[1].number, answered(1, v1), view);
        (void)query.on_result(parts[2].number, answered(2, v1), view);
        REQUIRE_FALSE(query.answer());
        const auto repeated = query.take_parts();
        REQUIRE(repeated.size() == 1);
        CHECK(repeated[0].shard == 0);
        CHECK(repeated[0].version == v1);
        (void)query.on_result(repeated[0].number, answered(0, v1, "at 1"), view);
        REQUIRE(query.answer());
        CHECK(query.answer()->is_complete());
        CHECK(*query.answer()->covered.at(0) == "at 1");
    }

    SECTION("restarts at another version if its version becomes unavailable")
    {
        for (int shard = 0; shard < 3; ++shard)
        {
            view.set_versions(shard, {v1});
        }
        query.start(view);
        const auto parts = query.take_parts();
        (void)query.on_result(parts[0].number, answered(0, v1), view);
        for (int shard = 0; shard < 3; ++shard)
        {
            view.set_versions(shard, {v2});
        }
        (void)query.on_result(parts[1].number, missing(1, missing_reason::wrong_version), view);
        const auto repeated = query.take_parts();
        REQUIRE(repeated.size() == 3);
        CHECK(query.take_abandoned() == std::vector<std::uint64_t>{parts[2].number});
        // A late result of the first round is ignored.
        CHECK_FALSE(query.on_result(parts[2].number, answered(2, v1), view));
        for (const auto& part : repeated)
        {
            (void)query.on_result(part.number, answered(part.shard, v2), view);
        }
        CHECK(query.answer()->is_complete());
        CHECK(query.answer()->version == v2);
    }

    SECTION("gives a partial answer if no version is available on all shards")
    {
        view.set_versions(0, {v1});
        view.set_versions(1, {v1});
        view.set_versions(2, {v2});
        query.start(view);
        for (const auto& part : query.take_parts())
        {
            CHECK(part.version == v1);
            (void)query.on_result(
                part.number,
                part.shard == 2 ? missing(2, missing_reason::wrong_version) : answered(part.shard, v1), view);
        }
        for (auto repeated = query.take_parts(); !repeated.empty(); repeated = query.take_parts())
        {
            for (const auto& part : repeated)
            {
                (void)query.on_result(part.number,
                                      part.shard == 2 ? answered(2, v2)
                                                      : missing(part.shard, missing_reason::wrong_version),
                                      view);
            }
        }
        REQUIRE(query.answer());
        CHECK(query.answer()->version == v1);
        CHECK(query.answer()->covered.size() == 2);
        CHECK(query.answer()->missing == std::map<int, missing_reason>{{2, missing_reason::wrong_version}});
    }

    SECTION("gives a reason for each missing shard, which is late at the deadline")
    {
        query.start(view);
        const auto parts = query.take_parts();
        (void)query.on_result(parts[0].number, answered(0, v1), view);
        (void)query.on_result(parts[1].number, missing(1, missing_reason::shed), view);
        query.on_deadline();
        REQUIRE(query.answer());
        CHECK(query.answer()->covered.size() == 1);
        CHECK(query.answer()->missing ==
              std::map<int, missing_reason>{{1, missing_reason::shed}, {2, missing_reason::late}});
    }

    SECTION("ignores duplicate, mismatched and late results")
    {
        query.start(view);
        const auto parts = query.take_parts();
        CHECK(query.on_result(parts[0].number, answered(0, v1, "first"), view));
        CHECK_FALSE(query.on_result(parts[0].number, answered(0, v1, "doubled"), view));
        CHECK_FALSE(query.on_result(parts[1].number, answered(2, v1), view));
        CHECK_FALSE(query.on_result(999, answered(1, v1), view));
        query.on_deadline();
        CHECK_FALSE(query.on_result(parts[1].number, answered(1, v1), view));
        CHECK(*query.answer()->covered.at(0) == "first");
    }

    SECTION("ignores an answer without a version")
    {
        query.start(view);
        for (const auto& part : query.take_parts())
        {
            (void)query.on_result(part.number, answered(part.shard, part.shard == 1 ? index_version() : v1),
                                  view);
        }
        CHECK(query.answer()->covered.size() == 2);
    }

    SECTION("has the outcome not run only if no part can have been run")
    {
        const outcome last_outcome = GENERATE(outcome::not_run, outcome::unknown);
        query.start(view);
        for (const auto& part : query.take_parts())
        {
            (void)query.on_result(
                part.number,
                missing(part.shard, missing_reason::cut, part.shard == 2 ? last_outcome : outcome::not_run),
                view);
        }
        CHECK(query.answer()->outcome == last_outcome);
    }
}

TEST_CASE("requests are parsed and checked", "[query]")
{
    findings found;

    SECTION("a valid request is accepted")
    {
        const auto request = parse_query_request(
            {{"service", "dispatch"}, {"shards", {2, 0, 2}}, {"body", "x"}, {"deadline_ms", 180}}, found);
        CHECK(found.items().empty());
        CHECK(request.shards == std::vector<int>{0, 2});
        CHECK(request.deadline == duration::from_ms(180));
    }
    SECTION("a request that must not be repeated needs a key, a key time and one shard")
    {
        (void)parse_query_request({{"service", "dispatch"}, {"repeatable", false}}, found);
        CHECK(found.items().size() == 3);
    }
    SECTION("all errors are reported together")
    {
        (void)parse_query_request({{"shards", {-1}}, {"deadline_ms", 0}, {"body", 1}, {"unknown", 1}}, found);
        CHECK(found.items().size() == 4);
    }
}
