#include <flaxtiller/routing/caller_admission.hpp>

#include "limit_play.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>

using namespace flaxtiller;
using limit_play::play_account;
using limit_play::play_shares;
using limit_play::scenario;

namespace
{

constexpr double max_refused_below_limit = 0.05;
/// Without a flood, of the requests that arrive in the 7 s after a coordinator was suspended.
constexpr double max_refused_while_suspended = 0.1;
constexpr int seeds = 5;

struct named_scenario
{
    const char* name;
    scenario settings;
    /// Whether the entries can reach a coordinator all the time.
    bool coordinator_reachable = true;
};

std::vector<named_scenario> scenarios(int entries)
{
    std::vector<named_scenario> all;
    const auto add = [&](const char* name, bool coordinator_reachable) -> scenario&
    {
        all.push_back({name, {}, coordinator_reachable});
        all.back().settings.entries = entries;
        return all.back().settings;
    };
    add("usual", true);
    add("small team", true).limit = {0.5, 1.0};
    add("all at one entry", true).to_one = 1.0;
    scenario& hot = add("hot", true);
    hot.hot_factor = 9.0;
    hot.hot_for_s = 6.0;
    scenario& flood = add("flood of a large team", true);
    flood.limit = {31.0, 31.0};
    flood.hot_factor = 9.0;
    flood.hot_for_s = 6.0;
    scenario& lowered = add("lowered", true);
    lowered.lowered_at_s = 10.0;
    lowered.lowered = {3.0, 3.0};
    scenario& lost = add("leader lost while hot", false);
    lost.hot_factor = 9.0;
    lost.hot_for_s = 8.0;
    lost.leaderless_from_s = 12.0;
    lost.leaderless_for_s = 2.5;
    scenario& split = add("control cut in two, then hot", false);
    split.hot_from_s = 12.0;
    split.hot_factor = 9.0;
    split.hot_for_s = 6.0;
    split.leaderless_from_s = 10.0;
    split.leaderless_for_s = 7.6;
    scenario& partition = add("a third cut off while hot", false);
    partition.hot_factor = 9.0;
    partition.hot_for_s = 10.0;
    partition.cut_share = 1.0 / 3.0;
    partition.cut_from_s = 11.0;
    partition.cut_for_s = 6.0;
    scenario& restart = add("all restart while hot", false);
    restart.hot_factor = 9.0;
    restart.hot_for_s = 10.0;
    restart.restart_at_s = 13.0;
    return all;
}

/// A coordinator that is suspended for 7 s, shortly before or after a flood begins. The time before that
/// fills all that an entry may save up.
scenario suspension(int entries, const rate_limit& limit, std::uint32_t seed)
{
    constexpr double longest_saving_s = 300.0;
    constexpr double longest_notice_s = 0.5;
    constexpr double longest_delay_s = 0.2;
    constexpr double shortest_election_s = 1.0;
    constexpr double longest_election_s = 1.5;
    std::mt19937 draw(seed);
    const auto between = [&](double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(draw);
    };
    scenario made;
    made.entries = entries;
    made.limit = limit;
    made.seed = seed;
    made.hot_from_s = std::min(20.0 + 2.0 * entries / limit.requests_per_s, longest_saving_s);
    made.suspended_from_s = made.hot_from_s + between(-longest_notice_s, longest_delay_s);
    made.election_s = between(shortest_election_s, longest_election_s);
    made.others = between(0.0, 1.0) < 0.5;
    made.seconds = made.hot_from_s + 15.0;
    return made;
}

team team_with_limit(double requests_per_s, double burst)
{
    team made;
    made.name = team_name("t");
    made.limit = {requests_per_s, burst};
    return made;
}

shared_map<team_name, team> teams_of(const team& item)
{
    shared_map<team_name, team> teams;
    teams.insert_or_assign(item.name, item);
    return teams;
}

time_point at_ms(double ms)
{
    return time_point(duration::from_ms(ms));
}

} // namespace

TEST_CASE("the limit of a team holds over all entries, also during failures and restarts", "[policy][teams]")
{
    const bool print = std::getenv("FLAXTILLER_PRINT") != nullptr;
    for (const int entries : {11, 85, 300, 995})
    {
        for (named_scenario& item : scenarios(entries))
        {
            limit_play::result worst;
            limit_play::result worst_divided;
            limit_play::result worst_without_division;
            const auto add = [](limit_play::result& sum, const limit_play::result& one)
            {
                sum.fullest_window = std::max(sum.fullest_window, one.fullest_window);
                sum.refused_below += one.refused_below / seeds;
                sum.messages_per_s += one.messages_per_s / seeds;
                sum.mean_wait_ms += one.mean_wait_ms / seeds;
            };
            for (std::uint32_t seed = 1; seed <= seeds; ++seed)
            {
                item.settings.seed = seed;
                add(worst, play_account(item.settings));
                add(worst_divided, play_shares(item.settings, false));
                add(worst_without_division, play_shares(item.settings, true));
            }
            if (print)
            {
                std::cout << entries << " | " << item.name << " | " << worst.fullest_window << " | "
                          << worst.refused_below << " | " << worst.messages_per_s << " | "
                          << worst.mean_wait_ms << " | n-th: " << worst_divided.fullest_window << " | "
                          << worst_divided.refused_below
                          << " | whole: " << worst_without_division.fullest_window << " | "
                          << worst_without_division.refused_below << "\n";
            }
            INFO(item.name << " at " << entries << " entries");
            CHECK(worst.fullest_window <= 1.0);
            if (item.coordinator_reachable)
            {
                CHECK(worst.refused_below <= max_refused_below_limit);
            }
        }
    }
}

namespace
{

void check_suspensions(const rate_limit& limit, int entries, std::uint32_t seeds_played)
{
    double fullest = 0.0;
    double refused_usual = 0.0;
    int exceeded = 0;
    for (std::uint32_t seed = 1; seed <= seeds_played; ++seed)
    {
        scenario settings = suspension(entries, limit, seed);
        refused_usual += play_account(settings).refused_while_suspended / seeds_played;
        settings.hot_factor = 8.7;
        settings.hot_for_s = 7.0;
        const double window = play_account(settings).fullest_window;
        fullest = std::max(fullest, window);
        exceeded += window > 1.0 ? 1 : 0;
    }
    if (std::getenv("FLAXTILLER_PRINT") != nullptr)
    {
        std::cout << "suspended | " << limit.requests_per_s << "/s + " << limit.burst << " | " << entries
                  << " | " << fullest << " | exceeded " << exceeded << " of " << seeds_played
                  << " | refused without a flood " << refused_usual << "\n";
    }
    INFO(limit.requests_per_s << " requests/s at " << entries << " entries, " << exceeded
                              << " runs above the tolerance");
    CHECK(fullest <= 1.0);
    CHECK(refused_usual <= max_refused_while_suspended);
}

} // namespace

// Guards against a flood that passes the tolerance through entries that don't know yet that their coordinator
// is silent, and through a successor that doesn't know yet what they admitted; and against a margin that is
// gained by refusals below the limit.
TEST_CASE("the limit of a team holds while a suspended coordinator is replaced during a flood",
          "[policy][teams]")
{
    for (const int entries : {11, 85, 300, 995})
    {
        check_suspensions({9.0, 26.8}, entries, 24);
        check_suspensions({0.5, 1.0}, entries, 12);
    }
    for (const int entries : {11, 85})
    {
        check_suspensions({31.0, 31.0}, entries, 24);
    }
}

// Guards against the same for a team whose flood during an election is more than its tolerance, at entries
// that see one request of the team each.
TEST_CASE("the limit of a large team holds in a large fleet while a suspended coordinator is replaced",
          "[policy][teams][large_flood]")
{
    for (const int entries : {300, 995})
    {
        check_suspensions({31.0, 31.0}, entries, 24);
    }
}

// Guards against the same at other sizes and limits: teams of which one request an entry, or a few, exceed
// the tolerance.
TEST_CASE("the limits of large teams hold at any size while a suspended coordinator is replaced",
          "[policy][teams]")
{
    for (const int entries : {150, 240, 500})
    {
        for (const double per_s : {20.0, 31.0, 60.0})
        {
            check_suspensions({per_s, per_s}, entries, 24);
        }
    }
    for (const int entries : {300, 995})
    {
        check_suspensions({3.9, 3.9}, entries, 90);
        for (const double per_s : {20.0, 60.0})
        {
            check_suspensions({per_s, per_s}, entries, 24);
        }
    }
}

TEST_CASE("an entry admits requests within the limit immediately and asks the coordinator about others",
          "[teams]")
{
    rate_limiter limiter;
    const team by = team_with_limit(10.0, 10.0);
    limiter.configure(teams_of(by), 85);
    limiter.on_coordinator_contact(at_ms(0));
    using verdict = rate_limiter::verdict;

    CHECK(limiter.admit(1, by, at_ms(0)).what == verdict::admitted);
    CHECK(limiter.admit(2, by, at_ms(1)).what == verdict::admitted);
    // The coordinator has not acknowledged the first two requests.
    CHECK(limiter.admit(3, by, at_ms(2)).what == verdict::awaiting_coordinator);
    const auto report = limiter.take_report(at_ms(2));
    REQUIRE(report);
    CHECK(report->usage == std::vector<limit_usage>{{by.name, 2}});
    REQUIRE(report->pending_requests.size() == 1);

    SECTION("a granted request is admitted, and the answer acknowledges the reported requests")
    {
        limiter.on_limit_update(
            {report->number, {{report->pending_requests[0].number, true, {}}}, {{by.name, false, {}}}},
            at_ms(20));
        const auto decisions = limiter.take_decisions();
        REQUIRE(decisions.size() == 1);
        CHECK(decisions[0].request == 3);
        CHECK(decisions[0].what == verdict::admitted);
        CHECK(limiter.admit(4, by, at_ms(21)).what == verdict::admitted);
    }
    SECTION("a request that isn't granted is refused with the coordinator's retry time")
    {
        const duration wait = duration::from_ms(300);
        limiter.on_limit_update(
            {report->number, {{report->pending_requests[0].number, false, wait}}, {{by.name, true, wait}}},
            at_ms(20));
        const auto decisions = limiter.take_decisions();
        REQUIRE(decisions.size() == 1);
        CHECK(decisions[0].what == verdict::refused);
        CHECK(decisions[0].retry_after == wait);
        // Until the coordinator can grant again, requests are refused without a question.
        CHECK(limiter.admit(4, by, at_ms(100)).what == verdict::refused);
        CHECK(limiter.admit(5, by, at_ms(320)).what == verdict::awaiting_coordinator);
    }
    SECTION("only one request waits for a coordinator that doesn't answer")
    {
        CHECK(limiter.next_time() <= at_ms(2) + rate_limiter::answer_timeout);
        limiter.on_time(at_ms(2) + rate_limiter::answer_timeout);
        const auto decisions = limiter.take_decisions();
        REQUIRE(decisions.size() == 1);
        CHECK(decisions[0].what == verdict::refused);
        CHECK(decisions[0].decided_locally);
        CHECK(limiter.is_coordinator_unavailable(at_ms(200)));
        CHECK(limiter.admit(4, by, at_ms(200)).what == verdict::refused);
        // One request of each other team is still admitted for a short time.
        team other = by;
        other.name = team_name("other");
        CHECK(limiter.admit(5, other, at_ms(200)).what == verdict::admitted);
        CHECK(limiter.admit(6, other, at_ms(201)).what == verdict::refused);
        // The usage of the unanswered report is reported again.
        limiter.on_time(at_ms(1100));
        const auto again = limiter.take_report(at_ms(1100));
        REQUIRE(again);
        CHECK(again->usage == std::vector<limit_usage>{{other.name, 1}, {by.name, 2}});
        CHECK(again->number != report->number);
    }
    SECTION("a cancelled request gets no decision")
    {
        limiter.cancel_request(3);
        limiter.on_time(at_ms(500));
        CHECK(limiter.take_decisions().empty());
    }
}

// Guards against a successor that grants again what its predecessor's entries admitted without an answer, and
// against entries that admit requests of a team which the successor knows as limited.
TEST_CASE("another coordinator receives what was not acknowledged and decides on each team first", "[teams]")
{
    rate_limiter limiter;
    const team by = team_with_limit(10.0, 10.0);
    limiter.configure(teams_of(by), 85);
    limiter.on_coordinator_contact(at_ms(0));
    using verdict = rate_limiter::verdict;
    REQUIRE(limiter.admit(1, by, at_ms(0)).what == verdict::admitted);
    const auto first = limiter.take_report(at_ms(20));
    REQUIRE(first);

    SECTION("the usage is reported again at once, to the successor")
    {
        limiter.on_coordinator_changed(false, at_ms(30));
        const auto again = limiter.take_report(at_ms(30));
        REQUIRE(again);
        CHECK(again->usage == first->usage);
        CHECK(limiter.admit(2, by, at_ms(31)).what == verdict::awaiting_coordinator);
        // A late answer of the predecessor acknowledges nothing.
        limiter.on_limit_update({again->number, {}, {{by.name, false, {}}}}, at_ms(40));
        CHECK(limiter.admit(3, by, at_ms(41)).what == verdict::admitted);
    }
    SECTION("a request that waits is asked for again")
    {
        limiter.admit(2, by, at_ms(21));
        limiter.admit(3, by, at_ms(22));
        REQUIRE(limiter.take_report(at_ms(22))->pending_requests.size() == 1);
        limiter.on_coordinator_changed(false, at_ms(30));
        CHECK(limiter.take_report(at_ms(30))->pending_requests.size() == 1);
    }
    SECTION("a replica that isn't known as the coordinator can limit a team, and nothing else")
    {
        limiter.on_other_limit_update({0, {}, {{by.name, true, duration::from_ms(900)}}}, at_ms(30));
        // Not refused at once: the replica may be one that was suspended.
        CHECK(limiter.admit(2, by, at_ms(31)).what == verdict::awaiting_coordinator);
        limiter.on_limit_update({first->number, {}, {{by.name, false, {}}}}, at_ms(40));
        limiter.on_other_limit_update({first->number, {}, {{by.name, true, {}}}}, at_ms(41));
        CHECK(limiter.admit(3, by, at_ms(42)).what == verdict::admitted);
    }
}

// Guards against a flood that no replica but a suspended coordinator knows of, and against a successor that
// counts it twice.
TEST_CASE("the other control replicas are witnesses of the usage of teams whose flood could pass", "[teams]")
{
    rate_limiter limiter;
    const team by = team_with_limit(10.0, 10.0);
    limiter.configure(teams_of(by), 85);
    limiter.on_coordinator_contact(at_ms(0));
    using verdict = rate_limiter::verdict;
    REQUIRE(limiter.admit(1, by, at_ms(0)).what == verdict::admitted);
    CHECK_FALSE(limiter.take_witness_report(at_ms(1)));
    const time_point due = at_ms(0) + rate_limiter::report_batch_window;
    REQUIRE(limiter.next_time() <= due);
    const auto report = limiter.take_report(due);
    REQUIRE(report);
    CHECK_FALSE(report->for_witness);
    const auto witnessed = limiter.take_witness_report(due);
    REQUIRE(witnessed);
    CHECK(witnessed->for_witness);
    CHECK(witnessed->usage == report->usage);
    CHECK(witnessed->pending_requests.empty());
    CHECK(nlohmann::json(*witnessed).get<limit_report>() == *witnessed);
    CHECK(nlohmann::json(*report).get<limit_report>() == *report);

    SECTION("each request is reported to them once")
    {
        CHECK_FALSE(limiter.take_witness_report(at_ms(2000)));
    }
    SECTION("a request that the coordinator granted is reported to them, too")
    {
        REQUIRE(limiter.admit(2, by, at_ms(21)).what == verdict::admitted);
        REQUIRE(limiter.admit(3, by, at_ms(22)).what == verdict::awaiting_coordinator);
        const auto asked = limiter.take_report(at_ms(22));
        REQUIRE(asked);
        REQUIRE(limiter.take_witness_report(at_ms(41)));
        limiter.on_limit_update(
            {asked->number, {{asked->pending_requests.at(0).number, true, {}}}, {{by.name, false, {}}}},
            at_ms(50));
        const auto granted = limiter.take_witness_report(at_ms(50) + rate_limiter::report_batch_window);
        REQUIRE(granted);
        CHECK(granted->usage == std::vector<limit_usage>{{by.name, 1}});
    }
    SECTION("a successor that was a witness isn't told again")
    {
        limiter.on_coordinator_changed(true, at_ms(30));
        CHECK_FALSE(limiter.take_report(at_ms(30)));
    }
    SECTION("a successor that wasn't is told")
    {
        limiter.on_coordinator_changed(false, at_ms(30));
        const auto again = limiter.take_report(at_ms(30));
        REQUIRE(again);
        CHECK(again->usage == report->usage);
    }
}

TEST_CASE("a small limit or a small number of entries needs no witnesses", "[teams]")
{
    const std::vector<std::pair<team, int>> cases{{team_with_limit(1.0, 1.0), 85},
                                                  {team_with_limit(10.0, 10.0), 8}};
    for (const auto& [by, entries] : cases)
    {
        rate_limiter limiter;
        limiter.configure(teams_of(by), entries);
        limiter.on_coordinator_contact(at_ms(0));
        REQUIRE(limiter.admit(1, by, at_ms(0)).what == rate_limiter::verdict::admitted);
        CHECK_FALSE(limiter.take_witness_report(at_ms(1000)));
    }
}

// Guards against a new coordinator that grants again what it knows to be used up.
TEST_CASE("a witness that becomes the coordinator keeps the debts of its accounts", "[teams]")
{
    rate_limit_coordinator ledger({duration::from_ms(5000), 0.0, 0.0});
    const team by = team_with_limit(2.0, 10.0);
    ledger.configure(teams_of(by), at_ms(0));
    ledger.restart(at_ms(0));
    const double initial = ledger.tokens(by.name, at_ms(0));
    CHECK(initial < by.limit.burst);

    limit_report report{0, 85, {{by.name, 8}}, {}, true};
    (void)ledger.on_report(report, at_ms(0));
    CHECK(ledger.has_status_updates());
    const double debt = ledger.tokens(by.name, at_ms(0));
    CHECK(debt < 0.0);
    ledger.restart(at_ms(0));
    CHECK(ledger.tokens(by.name, at_ms(0)) == Approx(debt));
    // The entries that follow the new coordinator are notified again.
    CHECK(ledger.take_status_updates(at_ms(0)).statuses.at(0).limited);

    // Unused tokens beyond the initial share aren't kept: the usage may be incomplete.
    ledger.restart(at_ms(60000));
    CHECK(ledger.tokens(by.name, at_ms(60000)) == Approx(initial));
}

TEST_CASE("refused requests get successive retry times", "[teams]")
{
    rate_limit_coordinator ledger({duration::from_ms(5000), 0.0, 0.0});
    const team by = team_with_limit(2.0, 2.0);
    ledger.configure(teams_of(by), at_ms(0));
    limit_report report{1, 0, {{by.name, 4}}, {{1, by.name}, {2, by.name}, {3, by.name}}};
    const limit_update update = ledger.on_report(report, at_ms(0));
    REQUIRE(update.request_decisions.size() == 3);
    std::vector<double> retry_after_ms;
    for (const limit_decision& grant : update.request_decisions)
    {
        CHECK_FALSE(grant.granted);
        retry_after_ms.push_back(grant.retry_after.ms());
    }
    CHECK(retry_after_ms[1] - retry_after_ms[0] == Approx(500.0));
    CHECK(retry_after_ms[2] - retry_after_ms[1] == Approx(500.0));
    CHECK(ledger.has_status_updates());
    // A request at the assigned retry time is granted.
    const limit_update later = ledger.on_report({2, 0, {}, {{4, by.name}}}, at_ms(retry_after_ms[0] + 1.0));
    CHECK(later.request_decisions.at(0).granted);
}

TEST_CASE("requests are authenticated before any other decision", "[teams]")
{
    team known = team_with_limit(1000.0, 1000.0);
    known.keys = {"right-key"};
    const std::string secret = generate_key_secret();
    routing_view view;
    view.entries = 3;
    view.placed = std::make_shared<const placement>();
    std::map<std::string, route> routes;
    for (const bool anonymous : {false, true})
    {
        route by;
        by.name = anonymous ? "open" : "closed";
        by.host = "h";
        by.path_prefix = "/" + by.name + "/";
        by.targets = {{service_name("s"), 1}};
        by.allows_anonymous = anonymous;
        routes.emplace(by.name, by);
    }
    view.routes = std::make_shared<const route_table>(routes);
    view.teams = std::make_shared<const team_table>(teams_of(known.without_keys(secret)), secret);
    caller_admission admission;
    admission.configure(view);

    const auto admit_request_with = [&](const std::string& path, const std::string& key)
    {
        routed_request request;
        request.id = "r";
        request.host = "h";
        request.target = path;
        admission.arrive(1, request, key, at_ms(0));
        return admission.take_actions(at_ms(0)).front();
    };
    const auto is_unauthorized = [&](const std::string& path, const std::string& key)
    {
        const admission_action action = admit_request_with(path, key);
        const auto* refused = std::get_if<reject_request>(&action);
        return refused != nullptr && refused->outcome.end == routed_end::unauthorized;
    };
    const auto team_of = [&](const std::string& path, const std::string& key)
    {
        return std::get<admit_request>(admit_request_with(path, key)).admitted->team;
    };

    CHECK(team_of("/closed/x", "right-key") == known.name);
    CHECK(is_unauthorized("/closed/x", "wrong-key"));
    CHECK(is_unauthorized("/closed/x", ""));
    CHECK(team_of("/open/x", "").empty());
    CHECK(team_of("/open/x", "right-key") == known.name);
    CHECK(is_unauthorized("/open/x", "wrong-key"));
    CHECK(is_unauthorized("/nowhere/x", ""));
    CHECK(team_of("/nowhere/x", "right-key") == known.name);

    SECTION("a withdrawn key is refused")
    {
        known.keys.clear();
        view.teams = std::make_shared<const team_table>(teams_of(known.without_keys(secret)), secret);
        admission.configure(view);
        CHECK(is_unauthorized("/closed/x", "right-key"));
    }
    SECTION("without teams no request needs a key, and keys are ignored")
    {
        view.teams = std::make_shared<const team_table>();
        admission.configure(view);
        CHECK(team_of("/closed/x", "").empty());
        CHECK(team_of("/closed/x", "wrong-key").empty());
    }
}
