#include <flaxtiller/core/json_reader.hpp>
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

/// Three teams, of which two are bound to regions.
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

/// Several entries in three regions, whose messages arrive a moment later or never, and backend servers that
/// answer, fail or fall silent. Notes whatever reaches a place where its route doesn't let it.
class region_play
{
  public:
    explicit region_play(std::uint32_t seed) : m_draw(seed)
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
        m_now = m_now + duration::from_ms(drawn(0, 12));
        for (auto& [name, item] : m_entries)
        {
            item.decides.on_time(m_now);
            take(name);
        }
        deliver();
        switch (drawn(0, 14))
        {
        case 0:
            change_routes();
            break;
        case 1:
            lose_an_entry();
            break;
        case 2:
            move_a_server();
            break;
        default:
            ask();
        }
    }

    const std::vector<std::string>& left() const
    {
        return m_left;
    }

    int attempts() const
    {
        return m_attempts;
    }

    int asks() const
    {
        return m_asks;
    }

    int refused() const
    {
        return m_refused;
    }

  private:
    struct entry
    {
        entry_peer where;
        router decides{router_options{}};
    };

    /// Something on its way; done when it is due.
    struct delivery
    {
        time_point due;
        std::function<void()> arrive;
    };

    int drawn(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_draw);
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
            // Few, so that shards have owners.
            server.connection_limit = 8;
            item.shards[0].push_back(server);
            m_zone_of[server.name] = server.availability_zone;
        }
        m_placed.services.emplace(item.definition.name, item);
    }

    /// Another backend server of the same service stands in another region, or none does.
    void move_a_server()
    {
        const service_name service("s" + std::to_string(drawn(0, services - 1)));
        placed_service item = *m_placed.services.at(service);
        auto& replicas = item.shards[0];
        const auto at = static_cast<std::size_t>(drawn(0, static_cast<int>(replicas.size()) - 1));
        if (replicas.size() > 1 && drawn(0, 1) == 0)
        {
            replicas.erase(replicas.begin() + static_cast<std::ptrdiff_t>(at));
        }
        else
        {
            replicas[at].name =
                backend_server_name(service.str() + "-n" + std::to_string(1000 + m_next_server++));
            replicas[at].availability_zone = zone_name(static_cast<std::size_t>(drawn(0, 2)), drawn(0, 1));
            m_zone_of[replicas[at].name] = replicas[at].availability_zone;
            std::sort(replicas.begin(), replicas.end(),
                      [](const backend_server& a, const backend_server& b)
                      {
                          return a.name < b.name;
                      });
        }
        m_placed.services.insert_or_assign(service, item);
        configure(drawn(0, 1) == 0);
    }

    region_set drawn_regions()
    {
        std::set<std::string> names;
        for (const char* region : regions)
        {
            if (drawn(0, 2) == 0)
            {
                names.insert(region);
            }
        }
        if (names.empty() && drawn(0, 1) == 0)
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
        all.allowed_regions = drawn_regions();
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
        one.allowed_regions = drawn_regions();
        one.targets = {{service_name("s0"), 1}};
        m_routes.emplace(one.name, one);
        ++m_placed.revision;
        // Some entries learn of it later.
        configure(true);
    }

    void configure(bool some_only)
    {
        for (auto& [name, item] : m_entries)
        {
            if (some_only && drawn(0, 2) == 0)
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
            item.decides.configure(view, m_now);
            m_routes_of[name] = m_routes;
            take(name);
        }
    }

    void lose_an_entry()
    {
        const auto lost = std::next(m_entries.begin(), drawn(0, static_cast<int>(m_entries.size()) - 1));
        m_unreachable.clear();
        if (drawn(0, 3) > 0)
        {
            m_unreachable.insert(lost->first);
        }
        for (auto& [name, item] : m_entries)
        {
            if (name != lost->first)
            {
                item.decides.entry_lost(lost->first, m_now);
                take(name);
            }
        }
        configure(true);
    }

    void ask()
    {
        const auto at = std::next(m_entries.begin(), drawn(0, static_cast<int>(m_entries.size()) - 1));
        auto request = std::make_shared<routed_request>();
        request->id = "r" + std::to_string(m_next_request);
        request->host = host;
        request->target = drawn(0, 3) == 0 ? "/one/" : "/all/";
        request->patience = duration::from_ms(300);
        const std::string route = request->target == "/one/" ? "one" : "all";
        const auto sender = std::next(m_teams->teams().begin(), drawn(0, 2));
        request->team = sender->first;
        // What the entry that has the caller goes by is what counts.
        m_allowed[request->id] =
            m_routes_of.at(at->first).at(route).allowed_regions.intersection(sender->second.allowed_regions);
        at->second.decides.arrive(m_next_request++, request, m_now);
        take(at->first);
    }

    void send(duration way, std::function<void()> arrive)
    {
        m_on_their_way.push_back({m_now + way, std::move(arrive)});
    }

    void deliver()
    {
        std::vector<delivery> waiting = std::exchange(m_on_their_way, {});
        for (delivery& item : waiting)
        {
            if (item.due <= m_now)
            {
                item.arrive();
            }
            else
            {
                m_on_their_way.push_back(std::move(item));
            }
        }
    }

    void check(const std::string& request, const std::string& region, const std::string& what)
    {
        const auto allowed = m_allowed.find(request);
        if (allowed != m_allowed.end() && !allowed->second.allows(region))
        {
            m_left.push_back(request + " " + what + " in " + region);
        }
    }

    void take(const instance_name& at)
    {
        router& decides = m_entries.at(at).decides;
        for (auto todo = decides.take_actions(); !todo.empty(); todo = decides.take_actions())
        {
            for (const router_action& action : todo)
            {
                std::visit(
                    [&](const auto& item)
                    {
                        carry(at, item);
                    },
                    action);
            }
        }
    }

    void carry(const instance_name& at, const start_routed_attempt& action)
    {
        ++m_attempts;
        check(action.sent->id, m_region_of_zone.at(m_zone_of.at(action.server)), "was run");
        const int luck = drawn(0, 9);
        if (luck == 0)
        {
            // Silent for good.
            return;
        }
        attempt_result result;
        result.status = luck == 1   ? attempt_status::cut
                        : luck == 2 ? attempt_status::shed
                        : luck == 3 ? attempt_status::unreachable
                                    : attempt_status::answered;
        result.hung_up = luck == 1;
        auto answer = std::make_shared<backend_answer>();
        answer->status = 200;
        answer->signature = action.server.str();
        send(duration::from_ms(drawn(2, 60)),
             [this, at, number = action.attempt, result, answer]
             {
                 const bool answered = result.status == attempt_status::answered;
                 m_entries.at(at).decides.attempt_ended(number, result, answered ? answer : nullptr, m_now);
                 take(at);
             });
    }

    void carry(const instance_name& at, const tell_crash_records& action)
    {
        for (const auto& item : m_entries)
        {
            if (item.first != at)
            {
                send(duration::from_ms(drawn(1, 20)),
                     [this, to = item.first, records = action.records]
                     {
                         m_entries.at(to).decides.on_crash_records(records, m_now);
                         take(to);
                     });
            }
        }
    }

    void carry(const instance_name&, const note_standing&)
    {
    }

    void carry(const instance_name& at, const ask_entry& action)
    {
        ++m_asks;
        const entry_peer& peer = m_entries.at(action.peer).where;
        check(action.sent->id, peer.region, "was passed on");
        if (m_unreachable.count(action.peer) > 0)
        {
            return;
        }
        auto asked = std::make_shared<routed_request>(*action.sent);
        asked->patience = action.patience;
        asked->asked_list = action.list;
        asked->asked_shards = action.shards;
        asked->designated = action.designated;
        asked->answer_within = action.answer_within;
        asked->progress_within = action.progress_within;
        asked->asked_again = action.again;
        asked->asked_regions = action.regions;
        send(duration::from_ms(drawn(1, 20)),
             [this, at, to = action.peer, number = action.number, asked]
             {
                 const request_number own = m_next_request++;
                 m_asked[{to, own}] = {at, number};
                 m_entries.at(to).decides.arrive(own, asked, m_now);
                 take(to);
             });
    }

    void reply(const instance_name& at, request_number request, const routed_outcome& outcome)
    {
        const auto asker = m_asked.find({at, request});
        if (asker == m_asked.end())
        {
            m_refused += outcome.end == routed_end::refused ? 1 : 0;
            return;
        }
        send(duration::from_ms(drawn(1, 20)),
             [this, at, back = asker->second, outcome]
             {
                 m_entries.at(back.first).decides.entry_answered(at, back.second, outcome, m_now);
                 take(back.first);
             });
    }

    void carry(const instance_name& at, const answer_request& action)
    {
        reply(at, action.request, action.outcome);
    }

    void carry(const instance_name& at, const tell_progress_to_entry& action)
    {
        reply(at, action.request, action.outcome);
    }

    void carry(const instance_name&, const cancel_routed_attempt&)
    {
    }

    void carry(const instance_name&, const abandon_at_entry&)
    {
    }

    std::mt19937 m_draw;
    time_point m_now{};
    std::map<instance_name, entry> m_entries;
    std::map<instance_name, std::map<std::string, route>> m_routes_of;
    std::map<std::string, std::string> m_region_of_zone;
    std::map<backend_server_name, std::string> m_zone_of;
    std::map<std::string, route> m_routes;
    const std::shared_ptr<const team_table> m_teams = make_teams();
    placement m_placed;
    std::set<instance_name> m_unreachable;
    std::vector<delivery> m_on_their_way;
    std::map<std::pair<instance_name, request_number>, std::pair<instance_name, ask_number>> m_asked;
    std::map<std::string, region_set> m_allowed;
    request_number m_next_request = 1;
    int m_next_server = 0;
    std::vector<std::string> m_left;
    int m_attempts = 0;
    int m_asks = 0;
    int m_refused = 0;
};

} // namespace

TEST_CASE("a set of regions", "[regions]")
{
    const region_set any;
    const region_set none = only({});
    CHECK(any.is_any());
    CHECK(any.allows("east"));
    CHECK(any.allows(""));
    CHECK(none.is_none());
    CHECK_FALSE(none.allows("east"));
    CHECK_FALSE(only({"east"}).allows(""));

    SECTION("where two bind, both do")
    {
        CHECK(any.intersection(any).is_any());
        CHECK(any.intersection(only({"east"})) == only({"east"}));
        CHECK(only({"east"}).intersection(any) == only({"east"}));
        CHECK(only({"east", "west"}).intersection(only({"west", "north"})) == only({"west"}));
        CHECK(only({"east"}).intersection(only({"west"})).is_none());
    }
    SECTION("it comes back from JSON as it was")
    {
        for (const region_set& value : {any, none, only({"east", "west"})})
        {
            CHECK(nlohmann::json(value).get<region_set>() == value);
        }
    }
}

TEST_CASE("a route may be bound to regions", "[regions]")
{
    findings found;
    nlohmann::json document = route_document();

    SECTION("it isn't unless it says so, and says nothing then")
    {
        const route read = read_route(document, found);
        CHECK(read.allowed_regions.is_any());
        CHECK_FALSE(nlohmann::json(read).contains("allowed_regions"));
    }
    SECTION("its regions come back")
    {
        document["allowed_regions"] = {"west", "east"};
        const route read = read_route(document, found);
        CHECK(read.allowed_regions == only({"east", "west"}));
        CHECK(read_route(nlohmann::json(read), found) == read);
        CHECK_FALSE(found.has_errors());
    }
    SECTION("no region at all is a finding, with its place")
    {
        document["allowed_regions"] = nlohmann::json::array();
        read_route(document, found);
        REQUIRE(found.has_errors());
        CHECK(found.to_text().find("/allowed_regions") != std::string::npos);
    }
    SECTION("so is anything but names")
    {
        document["allowed_regions"] = {"west", 3};
        read_route(document, found);
        CHECK(found.has_errors());
    }
}

TEST_CASE("no request leaves the regions that its route and its team allow, whatever is lost", "[regions]")
{
    for (std::uint32_t seed = 1; seed <= 12; ++seed)
    {
        region_play play(seed);
        for (int i = 0; i < 600; ++i)
        {
            play.step();
        }
        INFO("seed " << seed);
        CHECK(play.left() == std::vector<std::string>());
        CHECK(play.attempts() > 200);
        CHECK(play.asks() > 20);
        // Routes that allow no region that anyone knows.
        CHECK(play.refused() > 5);
    }
}
