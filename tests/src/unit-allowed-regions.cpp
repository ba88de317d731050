#include <flaxtiller/core/json_reader.hpp>
#include <flaxtiller/routing/delegated_request.hpp>
#include <flaxtiller/routing/router.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <random>

using namespace flaxtiller;
using dispatch::attempt_result;
using dispatch::attempt_status;

namespace
{

region_set only(std::set<std::string> names)
{
    return region_set(std::move(names));
}

route read_route(const nlohmann::json& document, findings& found)
{
    route read;
    json_reader reader(document, "", found);
    read_item(reader, read);
    reader.finish();
    return read;
}

nlohmann::json route_document()
{
    return {{"name", "r"},
            {"host", "h"},
            {"path_prefix", "/"},
            {"targets", {{{"service", "s0"}, {"weight", 1}}}}};
}

constexpr std::array regions = {"east", "west", "north"};
constexpr int zones_per_region = 2;
constexpr int entries_per_zone = 4;
constexpr int services = 9;
constexpr const char* host = "h";

std::string zone_name(std::size_t region, int zone)
{
    return regions[region] + std::string("-") + std::to_string(zone);
}

/// @return three teams, two of which are restricted to regions
std::shared_ptr<const team_table> make_teams()
{
    shared_map<team_name, team> teams;
    const std::vector<region_set> bound = {region_set(), only({"east"}), only({"west", "north"})};
    for (std::size_t i = 0; i < bound.size(); ++i)
    {
        team item;
        item.name = team_name("team-" + std::to_string(i));
        item.allowed_regions = bound[i];
        teams.insert_or_assign(item.name, item);
    }
    return std::make_shared<const team_table>(teams, "");
}

/// Simulates entries in three regions with delayed and lost messages, and backend servers that answer, fail
/// or don't answer. Routes, backend servers and reachable entries change at random, and some entries get a
/// new configuration later than others. The simulation records each request that was run in, or delegated to,
/// a region that its route or its team does not allow.
class region_simulation
{
  public:
    explicit region_simulation(std::uint32_t seed) : m_random(seed)
    {
        for (std::size_t region = 0; region < regions.size(); ++region)
        {
            for (int zone = 0; zone < zones_per_region; ++zone)
            {
                m_region_of_zone[zone_name(region, zone)] = regions[region];
                for (int at = 0; at < entries_per_zone; ++at)
                {
                    add_entry(region, zone, at);
                }
            }
        }
        for (int at = 0; at < services; ++at)
        {
            add_service(at);
        }
        change_routes();
        configure(false);
    }

    void step()
    {
        m_now = m_now + duration::from_ms(random_int(0, 12));
        for (auto& [name, item] : m_entries)
        {
            item.entry_router.on_time(m_now);
            process_actions(name);
        }
        deliver();
        switch (random_int(0, 14))
        {
        case 0:
            change_routes();
            break;
        case 1:
            disconnect_an_entry();
            break;
        case 2:
            replace_a_server();
            break;
        default:
            submit_a_request();
        }
    }

    const std::vector<std::string>& violations() const
    {
        return m_violations;
    }

    int attempts() const
    {
        return m_attempts;
    }

    int delegation_count() const
    {
        return m_delegation_count;
    }

    int refused() const
    {
        return m_refused;
    }

  private:
    struct entry
    {
        entry_peer where;
        router entry_router{router_options{}};
    };

    /// A message in transit, delivered when it is due.
    struct delivery
    {
        time_point due;
        std::function<void()> arrive;
    };

    int random_int(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }

    void add_entry(std::size_t region, int zone, int at)
    {
        const std::string where = zone_name(region, zone);
        const instance_name name(where + "-" + std::to_string(at));
        m_entries.emplace(name, entry{{name, regions[region], where, ""}, router(router_options{})});
    }

    void add_service(int at)
    {
        placed_service item;
        item.definition.name = service_name("s" + std::to_string(at));
        item.shards.resize(1);
        for (std::size_t region = 0; region < regions.size(); ++region)
        {
            backend_server server;
            server.name = backend_server_name(item.definition.name.str() + "-" + std::to_string(region));
            server.availability_zone = zone_name(region, at % zones_per_region);
            // Few connections, so that shards have owners.
            server.connection_limit = 8;
            item.shards[0].push_back(server);
            m_zone_of[server.name] = server.availability_zone;
        }
        m_placed.services.emplace(item.definition.name, item);
    }

    /// Removes a backend server, or replaces it by one in another availability zone.
    void replace_a_server()
    {
        const service_name service("s" + std::to_string(random_int(0, services - 1)));
        placed_service item = *m_placed.services.at(service);
        auto& replicas = item.shards[0];
        const auto at = static_cast<std::size_t>(random_int(0, static_cast<int>(replicas.size()) - 1));
        if (replicas.size() > 1 && random_int(0, 1) == 0)
        {
            replicas.erase(replicas.begin() + static_cast<std::ptrdiff_t>(at));
        }
        else
        {
            replicas[at].name =
                backend_server_name(service.str() + "-n" + std::to_string(1000 + m_next_server++));
            replicas[at].availability_zone =
                zone_name(static_cast<std::size_t>(random_int(0, 2)), random_int(0, 1));
            m_zone_of[replicas[at].name] = replicas[at].availability_zone;
            std::sort(replicas.begin(), replicas.end(),
                      [](const backend_server& a, const backend_server& b)
                      {
                          return a.name < b.name;
                      });
        }
        m_placed.services.insert_or_assign(service, item);
        configure(random_int(0, 1) == 0);
    }

    region_set random_regions()
    {
        std::set<std::string> names;
        for (const char* region : regions)
        {
            if (random_int(0, 2) == 0)
            {
                names.insert(region);
            }
        }
        if (names.empty() && random_int(0, 1) == 0)
        {
            return region_set();
        }
        if (names.empty())
        {
            names.insert("nowhere");
        }
        return region_set(names);
    }

    void change_routes()
    {
        m_routes.clear();
        route all;
        all.name = "all";
        all.host = host;
        all.path_prefix = "/all/";
        all.timeout = duration::from_ms(400);
        all.objective = duration::from_ms(80);
        all.least_share = 0.0;
        all.allowed_regions = random_regions();
        for (int at = 0; at < services; ++at)
        {
            all.fan_out.emplace_back("s" + std::to_string(at));
        }
        m_routes.emplace(all.name, all);
        route one;
        one.name = "one";
        one.host = host;
        one.path_prefix = "/one/";
        one.timeout = duration::from_ms(400);
        one.allowed_regions = random_regions();
        one.targets = {{service_name("s0"), 1}};
        m_routes.emplace(one.name, one);
        ++m_placed.revision;
        // Some entries get the new routes later.
        configure(true);
    }

    void configure(bool some_only)
    {
        for (auto& [name, item] : m_entries)
        {
            if (some_only && random_int(0, 2) == 0)
            {
                continue;
            }
            routing_view view;
            view.placed = std::make_shared<const placement>(m_placed);
            view.routes = std::make_shared<const route_table>(m_routes);
            view.teams = m_teams;
            view.entries = static_cast<int>(m_entries.size());
            view.self = name;
            view.region = item.where.region;
            view.zone = item.where.availability_zone;
            view.region_of_zone = m_region_of_zone;
            std::vector<entry_peer> peers;
            for (const auto& [other, peer] : m_entries)
            {
                if (other != name)
                {
                    peers.push_back(peer.where);
                }
            }
            view.peers = peers;
            view.unreachable = m_unreachable;
            item.entry_router.configure(view, m_now);
            m_routes_of[name] = m_routes;
            process_actions(name);
        }
    }

    void disconnect_an_entry()
    {
        const auto lost = std::next(m_entries.begin(), random_int(0, static_cast<int>(m_entries.size()) - 1));
        m_unreachable.clear();
        if (random_int(0, 3) > 0)
        {
            m_unreachable.insert(lost->first);
        }
        for (auto& [name, item] : m_entries)
        {
            if (name != lost->first)
            {
                item.entry_router.on_entry_disconnected(lost->first, m_now);
                process_actions(name);
            }
        }
        configure(true);
    }

    void submit_a_request()
    {
        const auto at = std::next(m_entries.begin(), random_int(0, static_cast<int>(m_entries.size()) - 1));
        auto request = std::make_shared<routed_request>();
        request->id = "r" + std::to_string(m_next_request);
        request->host = host;
        request->target = random_int(0, 3) == 0 ? "/one/" : "/all/";
        request->patience = duration::from_ms(300);
        const std::string route = request->target == "/one/" ? "one" : "all";
        const auto sender = std::next(m_teams->teams().begin(), random_int(0, 2));
        request->team = sender->first;
        // The routes known to the entry that received the request apply.
        m_allowed[request->id] =
            m_routes_of.at(at->first).at(route).allowed_regions.intersection(sender->second.allowed_regions);
        at->second.entry_router.arrive(m_next_request++, request, m_now);
        process_actions(at->first);
    }

    void send(duration latency, std::function<void()> arrive)
    {
        m_in_transit.push_back({m_now + latency, std::move(arrive)});
    }

    void deliver()
    {
        std::vector<delivery> waiting = std::exchange(m_in_transit, {});
        for (delivery& item : waiting)
        {
            if (item.due <= m_now)
            {
                item.arrive();
            }
            else
            {
                m_in_transit.push_back(std::move(item));
            }
        }
    }

    void check(const std::string& request, const std::string& region, const std::string& event)
    {
        const auto allowed = m_allowed.find(request);
        if (allowed != m_allowed.end() && !allowed->second.allows(region))
        {
            m_violations.push_back(request + " " + event + " in " + region);
        }
    }

    void process_actions(const instance_name& at)
    {
        router& entry_router = m_entries.at(at).entry_router;
        for (auto todo = entry_router.take_actions(); !todo.empty(); todo = entry_router.take_actions())
        {
            for (const router_action& action : todo)
            {
                std::visit(
                    [&](const auto& item)
                    {
                        execute(at, item);
                    },
                    action);
            }
        }
    }

    void execute(const instance_name& at, const start_routed_attempt& action)
    {
        ++m_attempts;
        check(action.sent->id, m_region_of_zone.at(m_zone_of.at(action.server)), "was run");
        const int outcome_draw = random_int(0, 9);
        if (outcome_draw == 0)
        {
            // The backend server never answers.
            return;
        }
        attempt_result result;
        result.status = outcome_draw == 1   ? attempt_status::cut
                        : outcome_draw == 2 ? attempt_status::shed
                        : outcome_draw == 3 ? attempt_status::unreachable
                                            : attempt_status::answered;
        result.hung_up = outcome_draw == 1;
        auto answer = std::make_shared<backend_answer>();
        answer->status = 200;
        answer->signature = action.server.str();
        send(duration::from_ms(random_int(2, 60)),
             [this, at, number = action.attempt, result, answer]
             {
                 const bool answered = result.status == attempt_status::answered;
                 m_entries.at(at).entry_router.attempt_ended(number, result, answered ? answer : nullptr,
                                                             m_now);
                 process_actions(at);
             });
    }

    void execute(const instance_name& at, const publish_crash_records& action)
    {
        for (const auto& item : m_entries)
        {
            if (item.first != at)
            {
                send(duration::from_ms(random_int(1, 20)),
                     [this, to = item.first, records = action.records]
                     {
                         m_entries.at(to).entry_router.on_crash_records(records, m_now);
                         process_actions(to);
                     });
            }
        }
    }

    void execute(const instance_name&, const report_quarantine_state&)
    {
    }

    void execute(const instance_name& at, const delegate_shards& action)
    {
        ++m_delegation_count;
        const entry_peer& peer = m_entries.at(action.peer).where;
        check(action.sent->id, peer.region, "was passed on");
        if (m_unreachable.count(action.peer) > 0)
        {
            return;
        }
        const auto delegated = std::make_shared<const routed_request>(delegated_request(action));
        send(duration::from_ms(random_int(1, 20)),
             [this, at, to = action.peer, number = action.number, delegated]
             {
                 const request_number own = m_next_request++;
                 m_delegations_by_request[{to, own}] = {at, number};
                 m_entries.at(to).entry_router.arrive(own, delegated, m_now);
                 process_actions(to);
             });
    }

    void reply(const instance_name& at, request_number request, const routed_outcome& outcome)
    {
        const auto delegating_entry = m_delegations_by_request.find({at, request});
        if (delegating_entry == m_delegations_by_request.end())
        {
            m_refused += outcome.end == routed_end::refused ? 1 : 0;
            return;
        }
        send(duration::from_ms(random_int(1, 20)),
             [this, at, origin = delegating_entry->second, outcome]
             {
                 m_entries.at(origin.first)
                     .entry_router.on_delegation_outcome(at, origin.second, outcome, m_now);
                 process_actions(origin.first);
             });
    }

    void execute(const instance_name& at, const answer_request& action)
    {
        reply(at, action.request, action.outcome);
    }

    void execute(const instance_name& at, const send_partial_outcome& action)
    {
        reply(at, action.request, action.outcome);
    }

    void execute(const instance_name&, const cancel_routed_attempt&)
    {
    }

    void execute(const instance_name&, const abandon_delegation&)
    {
    }

    std::mt19937 m_random;
    time_point m_now{};
    std::map<instance_name, entry> m_entries;
    std::map<instance_name, std::map<std::string, route>> m_routes_of;
    std::map<std::string, std::string> m_region_of_zone;
    std::map<backend_server_name, std::string> m_zone_of;
    std::map<std::string, route> m_routes;
    const std::shared_ptr<const team_table> m_teams = make_teams();
    placement m_placed;
    std::set<instance_name> m_unreachable;
    std::vector<delivery> m_in_transit;
    std::map<std::pair<instance_name, request_number>, std::pair<instance_name, delegation_number>>
        m_delegations_by_request;
    std::map<std::string, region_set> m_allowed;
    request_number m_next_request = 1;
    int m_next_server = 0;
    std::vector<std::string> m_violations;
    int m_attempts = 0;
    int m_delegation_count = 0;
    int m_refused = 0;
};

} // namespace

TEST_CASE("a set of regions holds all, some or no regions", "[regions]")
{
    const region_set any;
    const region_set none = only({});
    CHECK(any.is_any());
    CHECK(any.allows("east"));
    CHECK(any.allows(""));
    CHECK(none.is_none());
    CHECK_FALSE(none.allows("east"));
    CHECK_FALSE(only({"east"}).allows(""));

    SECTION("the intersection of two sets allows the regions in both")
    {
        CHECK(any.intersection(any).is_any());
        CHECK(any.intersection(only({"east"})) == only({"east"}));
        CHECK(only({"east"}).intersection(any) == only({"east"}));
        CHECK(only({"east", "west"}).intersection(only({"west", "north"})) == only({"west"}));
        CHECK(only({"east"}).intersection(only({"west"})).is_none());
    }
    SECTION("a set is equal after conversion to JSON and back")
    {
        for (const region_set& value : {any, none, only({"east", "west"})})
        {
            CHECK(nlohmann::json(value).get<region_set>() == value);
        }
    }
}

TEST_CASE("a route may be restricted to regions", "[regions]")
{
    findings found;
    nlohmann::json document = route_document();

    SECTION("a route without allowed_regions allows all regions, and its JSON has no such key")
    {
        const route read = read_route(document, found);
        CHECK(read.allowed_regions.is_any());
        CHECK_FALSE(nlohmann::json(read).contains("allowed_regions"));
    }
    SECTION("allowed regions are equal after conversion to JSON and back")
    {
        document["allowed_regions"] = {"west", "east"};
        const route read = read_route(document, found);
        CHECK(read.allowed_regions == only({"east", "west"}));
        CHECK(read_route(nlohmann::json(read), found) == read);
        CHECK_FALSE(found.has_errors());
    }
    SECTION("an empty list of regions is an error with its JSON path")
    {
        document["allowed_regions"] = nlohmann::json::array();
        read_route(document, found);
        REQUIRE(found.has_errors());
        CHECK(found.to_text().find("/allowed_regions") != std::string::npos);
    }
    SECTION("a list with a value that isn't a name is an error")
    {
        document["allowed_regions"] = {"west", 3};
        read_route(document, found);
        CHECK(found.has_errors());
    }
}

TEST_CASE("no request leaves the regions that its route and its team allow, even with lost messages",
          "[regions]")
{
    for (std::uint32_t seed = 1; seed <= 12; ++seed)
    {
        region_simulation simulation(seed);
        for (int i = 0; i < 600; ++i)
        {
            simulation.step();
        }
        INFO("seed " << seed);
        CHECK(simulation.violations() == std::vector<std::string>());
        CHECK(simulation.attempts() > 200);
        CHECK(simulation.delegation_count() > 20);
        // Some routes allow only a region that does not exist, so their requests are refused.
        CHECK(simulation.refused() > 5);
    }
}
