#include "entry_process.hpp"

#include "http_call.hpp"
#include "http_status.hpp"
#include "json_reply.hpp"
#include "log.hpp"
#include "routed_front.hpp"
#include "run_guarded.hpp"
#include "system.hpp"

#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/dispatch/owner_choice.hpp>

#include <flaxtiller/registration/registry.hpp>

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace flaxtiller::shell
{

namespace net = boost::asio;

namespace
{

constexpr duration link_tick = duration::from_ms(20);
/// Links are looked at this often in a heartbeat, but no more often than @ref link_tick.
constexpr double link_tick_share = 0.25;
constexpr duration pools_every = duration::from_ms(1000);
/// Beyond this, the configuration counts as stale: the balancer is told, answers go on and say its age.
constexpr duration stale_after = duration::from_ms(3000);
constexpr int platform_timeout_ms = 1000;
/// Links to entries of each other region: enough that one may fail and another be passed over.
constexpr std::size_t far_entries_per_region = 3;

/// What a request reads, by read-copy-update: the placement in force and the lane of each service.
struct routing
{
    std::shared_ptr<const placement> placed;
    std::map<service_name, std::shared_ptr<service_lane>> lanes;
};

int status_of(const query_answer& answer)
{
    switch (answer.refusal)
    {
    case errc::ok:
        break;
    case errc::unknown_service:
    case errc::unknown_shard:
        return http_not_found;
    case errc::key_reused:
        return http_conflict;
    case errc::key_expired:
        return http_gone;
    case errc::overloaded:
        return http_too_many;
    default:
        return http_unavailable;
    }
    if (answer.outcome == outcome::run)
    {
        return http_ok;
    }
    return answer.outcome == outcome::not_run ? http_unavailable : http_gateway_timeout;
}

std::vector<std::string> names_of(const std::vector<named_address>& items)
{
    std::vector<std::string> names;
    for (const named_address& item : items)
    {
        names.push_back(item.name);
    }
    return names;
}

http_server::limits limits_of(const entry_settings& settings)
{
    http_server::limits limits;
    limits.most_body_bytes = static_cast<std::size_t>(settings.most_request_bytes);
    limits.request_timeout_ms = settings.request_timeout_ms;
    return limits;
}

service_coordinator::options options_of(const entry_settings& settings)
{
    service_coordinator::options options;
    options.scheduling = settings.dispatch;
    options.most_queries = static_cast<std::size_t>(settings.most_queries_per_service);
    return options;
}

} // namespace

struct entry_process::implementation
{
    explicit implementation(entry_settings wanted)
        : settings(std::move(wanted)), run_id(draw64()), strand(net::make_strand(io)), link_timer(strand),
          report_timer(strand), pools_timer(strand), drain_timer(strand),
          signals(io, SIGTERM, SIGINT, SIGHUP),
          links(hello{link_protocol_version, "entry", settings.instance.name, run_id,
                      settings.instance.region, settings.link.str()},
                counted, settings.links,
                {[this](const hello& from, const link_message& message)
                 {
                     on_message(from, message);
                 },
                 [this](const std::string& name, bool up)
                 {
                     on_reachable(name, up);
                 }}),
          registers(io, links, names_of(settings.control)), pools(io, counted),
          trace(settings.trace_file), lanes{io,
                                            pools,
                                            links,
                                            registers,
                                            counted,
                                            trace,
                                            instance_name(settings.instance.name),
                                            run_id,
                                            options_of(settings)},
          table(std::make_shared<const routing>()), control(settings.control),
          routed(settings.routed.port == 0 ? nullptr
                                           : std::make_unique<routed_front>(
                                                 io, counted, settings.routing, settings.routed_names,
                                                 [this](const std::string& to, const link_message& message)
                                                 {
                                                     links.send(to, message);
                                                 })),
          callers(io, limits_of(settings),
                  [this](const http_request& request, http_server::respond respond)
                  {
                      on_caller(request, std::move(respond));
                  }),
          operators(io, limits_of(settings),
                    [this](const http_request& request, http_server::respond respond)
                    {
                        on_operator(request, std::move(respond));
                    })
    {
    }

    entry_settings settings;
    const std::uint64_t run_id;
    net::io_context io;
    net::strand<net::io_context::executor_type> strand;
    net::steady_timer link_timer;
    net::steady_timer report_timer;
    net::steady_timer pools_timer;
    net::steady_timer drain_timer;
    net::signal_set signals;
    monotonic_clock clock;
    metrics counted;
    peer_links links;
    register_client registers;
    pools_by_server<backend_pool> pools;
    trace_writer trace;
    lane_context lanes;
    rcu_cell<routing> table;
    distribution::subscriber subscriber;
    /// Microseconds of the monotonic clock at which a leader last confirmed the revision; 0 for never.
    std::atomic<std::int64_t> confirmed_at_us{0};
    std::atomic<bool> draining{false};
    time_point drain_until{};
    /// What is in flight is cut then.
    time_point drain_end{};
    bool closing = false;
    /// New connections may come until then: the balancer needs to notice.
    time_point drained_at_least{};
    std::set<std::string> reachable;
    /// The control replicas: those of the settings, and those that a replica named since.
    std::vector<named_address> control;
    std::unique_ptr<routed_front> routed;
    registry registered;
    /// Entry instances that share the backend servers, as the leader counts them.
    int entries = 1;
    /// Entries of other regions that this one keeps links to.
    std::vector<entry_peer> far_entries;
    std::map<backend_server_name, bool> listed_leaving;
    std::thread platform_poller;
    std::atomic<bool> stopping{false};
    http_server callers;
    http_server operators;
    std::unique_ptr<http_server> gateway;

    // ------------------------------------------------------------------ callers

    void on_caller(const http_request& request, http_server::respond respond)
    {
        if (request.target == "/health")
        {
            respond(health());
            return;
        }
        if (request.target != "/query" || request.method != "POST")
        {
            respond(error_reply(http_not_found, errc::message_malformed, "only POST /query and GET /health"));
            return;
        }
        on_query(request, std::move(respond));
    }

    http_reply health() const
    {
        const std::int64_t at = confirmed_at_us.load(std::memory_order_relaxed);
        const char* state = "serving";
        if (draining)
        {
            state = "leaving";
        }
        else if (at == 0)
        {
            state = "starting";
        }
        else if (clock.now() - time_point(duration::from_us(at)) > stale_after)
        {
            state = "stale";
        }
        const bool serving = std::string_view(state) == "serving";
        return json_reply(serving ? http_ok : http_unavailable, {{"state", state}});
    }

    void on_query(const http_request& request, http_server::respond respond)
    {
        counted.add(metrics::counter::queries);
        findings found;
        const nlohmann::json document = nlohmann::json::parse(request.body, nullptr, false);
        if (document.is_discarded())
        {
            found.error(errc::document_malformed, "", "the body must be JSON");
        }
        query_request wanted =
            document.is_discarded() ? query_request{} : parse_query_request(document, found);
        if (found.has_errors())
        {
            counted.add(metrics::counter::malformed_requests);
            respond(json_reply(http_bad_request, {{"outcome", "not_run"}, {"findings", found}}));
            return;
        }
        if (confirmed_at_us.load(std::memory_order_acquire) == 0)
        {
            query_answer told;
            told.refusal = errc::not_ready;
            told.outcome = wanted.repeatable ? outcome::not_run : outcome::unknown;
            told.retry_after = duration::from_ms(200);
            answer(told, respond);
            return;
        }
        const auto now_in_force = table.load();
        const auto lane = now_in_force->lanes.find(wanted.service);
        if (lane == now_in_force->lanes.end())
        {
            query_answer told;
            told.refusal = errc::unknown_service;
            told.outcome = wanted.repeatable ? outcome::not_run : outcome::unknown;
            answer(told, respond);
            return;
        }
        lane->second->ask(std::move(wanted),
                          [this, respond = std::move(respond)](const query_answer& told)
                          {
                              answer(told, respond);
                          });
    }

    void answer(const query_answer& told, const http_server::respond& respond)
    {
        count(told);
        nlohmann::json body = told;
        const time_point confirmed(duration::from_us(confirmed_at_us.load(std::memory_order_relaxed)));
        body["configuration_age_ms"] = (clock.now() - confirmed).ms();
        http_reply reply = json_reply(status_of(told), body);
        if (told.retry_after > duration{})
        {
            const auto seconds = static_cast<std::int64_t>(told.retry_after.ms() / 1000.0) + 1;
            reply.headers.set("Retry-After", std::to_string(seconds));
        }
        respond(std::move(reply));
    }

    void count(const query_answer& told)
    {
        using counter = metrics::counter;
        counter which = counter::answers_unknown;
        if (told.refusal != errc::ok || told.outcome == outcome::not_run)
        {
            which = counter::answers_refused;
        }
        else if (told.outcome == outcome::run)
        {
            which = told.is_whole() ? counter::answers_whole : counter::answers_partial;
        }
        counted.add(which);
    }

    // ------------------------------------------------------------------ operators

    void on_operator(const http_request& request, http_server::respond respond)
    {
        if (request.target == "/health")
        {
            respond(health());
        }
        else if (request.target == "/metrics")
        {
            respond(json_reply(http_ok, counted.dump()));
        }
        else if (request.target == "/dump")
        {
            dump(std::move(respond));
        }
        else
        {
            respond(error_reply(http_not_found, errc::message_malformed, "only /health, /metrics and /dump"));
        }
    }

    void dump(http_server::respond respond)
    {
        struct gathered
        {
            std::mutex mutex;
            nlohmann::json services = nlohmann::json::object();
            std::size_t left = 0;
        };
        const auto now_in_force = table.load();
        auto all = std::make_shared<gathered>();
        all->left = now_in_force->lanes.size() + 1;
        const auto done = [this, all, respond]
        {
            const std::scoped_lock lock(all->mutex);
            if (--all->left > 0)
            {
                return;
            }
            net::post(strand,
                      [this, all, respond]
                      {
                          respond(json_reply(http_ok, dump_with(all->services)));
                      });
        };
        for (const auto& [name, lane] : now_in_force->lanes)
        {
            lane->dump(
                [all, done, name = name.str()](nlohmann::json state)
                {
                    {
                        const std::scoped_lock lock(all->mutex);
                        all->services[name] = std::move(state);
                    }
                    done();
                });
        }
        done();
    }

    nlohmann::json dump_with(const nlohmann::json& services)
    {
        const auto age = subscriber.age(clock.now());
        nlohmann::json j = {{"process", "entry"},
                            {"instance", settings.instance.name},
                            {"region", settings.instance.region},
                            {"availability_zone", settings.instance.availability_zone},
                            {"run", run_id},
                            {"draining", draining.load()},
                            {"revision", subscriber.revision()},
                            {"reachable_peers", reachable},
                            {"services", services},
                            {"registered_backend_servers", registered.present().size()},
                            {"metrics", counted.dump()}};
        if (age)
        {
            j["configuration_age_ms"] = age->ms();
        }
        return j;
    }

    // ------------------------------------------------------------------ links

    void on_message(const hello& from, const link_message& message)
    {
        if (const auto* asked = std::get_if<ask_message>(&message))
        {
            post_to_lane(asked->service, peer_asked{instance_name(from.name), asked->subqueries});
        }
        else if (const auto* answered = std::get_if<answer_message>(&message))
        {
            post_to_lane(answered->service, peer_answered{instance_name(from.name), answered->results});
        }
        else if (const auto* abandoned = std::get_if<abandon_message>(&message))
        {
            post_to_lane(abandoned->service, peer_abandoned{instance_name(from.name), abandoned->numbers});
        }
        else if (const auto* returned = std::get_if<register_return>(&message))
        {
            registers.on_return(from.name, *returned);
        }
        else if (const auto* update = std::get_if<distribution::revision_update>(&message))
        {
            net::post(strand,
                      [this, update = *update]
                      {
                          on_update(update);
                      });
        }
        else if (const auto* word = std::get_if<distribution::revision_confirmation>(&message))
        {
            net::post(strand,
                      [this, word = *word]
                      {
                          on_confirmation(word);
                      });
        }
        else if (!on_routed(from, message))
        {
            net::post(strand,
                      [this, from, message]
                      {
                          on_surroundings(from, message);
                      });
        }
    }

    /// @return whether it was a message between entries on a routed request
    bool on_routed(const hello& from, const link_message& message)
    {
        if (!routed)
        {
            return false;
        }
        if (const auto* asked = std::get_if<routed_ask>(&message))
        {
            routed->on_ask(from.name, *asked);
            return true;
        }
        if (const auto* returned = std::get_if<routed_return>(&message))
        {
            routed->on_return(from.name, *returned);
            return true;
        }
        if (const auto* abandoned = std::get_if<routed_abandon>(&message))
        {
            routed->on_abandon(from.name, *abandoned);
            return true;
        }
        return false;
    }

    void on_surroundings(const hello& from, const link_message& message)
    {
        if (const auto* update = std::get_if<registration_update>(&message))
        {
            on_registrations(from, *update);
        }
        else if (const auto* told = std::get_if<control_members>(&message))
        {
            on_control_members(*told);
        }
        else if (const auto* list = std::get_if<entry_list>(&message))
        {
            on_entry_list(*list);
        }
    }

    void on_registrations(const hello& from, const registration_update& update)
    {
        const time_point now = clock.now();
        bool changed = false;
        for (const registration& said : update.items)
        {
            changed = registered.merge(said, now) || changed;
        }
        if (update.whole)
        {
            changed = registered.keep_only(update.items, now) || changed;
        }
        if (!changed)
        {
            return;
        }
        for (const registration& item : registered.take_changes())
        {
            log(log_level::info, "registration",
                {{"backend_server", item.id.str()},
                 {"service", item.service.str()},
                 {"state", nlohmann::json(item.state).get<std::string>()},
                 {"sequence", item.sequence},
                 {"from", from.name}});
        }
        update_routed();
    }

    /// A replica's word on where the others are; those of the settings stay, in case it is wrong.
    void on_control_members(const control_members& told)
    {
        std::vector<named_address> next = settings.control;
        for (const std::string& name : told.names)
        {
            const auto at = parse_address(name);
            const bool known = std::any_of(next.begin(), next.end(),
                                           [&](const named_address& item)
                                           {
                                               return item.name == name;
                                           });
            if (at && !known)
            {
                next.push_back({name, *at});
            }
        }
        if (next == control)
        {
            return;
        }
        control = std::move(next);
        log(log_level::info, "control_replicas", {{"count", control.size()}});
        want_peers();
    }

    void update_routed()
    {
        if (routed)
        {
            routed_front::surroundings around;
            around.entries = entries;
            around.region = settings.instance.region;
            around.region_of_zone = settings.region_of_zone;
            for (const entry_peer& peer : far_entries)
            {
                if (reachable.count(peer.name.str()) > 0)
                {
                    around.peers.push_back(peer);
                }
            }
            routed->update(subscriber.revision(), subscriber.current(), registered.present(), around);
        }
    }

    /// Of each other region this one links to a few entries, other ones than its neighbours do, so that links
    /// don't grow with the square of the instances.
    void on_entry_list(const entry_list& list)
    {
        std::map<std::string, std::map<std::uint64_t, entry_peer>> by_region;
        for (const entry_peer& item : list.items)
        {
            if (item.region != settings.instance.region)
            {
                by_region[item.region].emplace(hash64(settings.instance.name + '/' + item.name.str()), item);
            }
        }
        std::vector<entry_peer> next;
        for (const auto& [region, ranked] : by_region)
        {
            std::size_t taken = 0;
            for (const auto& [rank, item] : ranked)
            {
                if (taken++ < far_entries_per_region)
                {
                    next.push_back(item);
                }
            }
        }
        if (next == far_entries)
        {
            return;
        }
        far_entries = std::move(next);
        log(log_level::info, "far_entries", {{"linked", far_entries.size()}, {"listed", list.items.size()}});
        want_peers();
        update_routed();
    }

    void post_to_lane(const service_name& service, coordinator_event event)
    {
        const auto now_in_force = table.load();
        const auto lane = now_in_force->lanes.find(service);
        if (lane != now_in_force->lanes.end())
        {
            lane->second->post(std::move(event));
        }
    }

    void on_reachable(const std::string& name, bool up)
    {
        net::post(strand,
                  [this, name, up]
                  {
                      up ? (void)reachable.insert(name) : (void)reachable.erase(name);
                      const bool far = std::any_of(far_entries.begin(), far_entries.end(),
                                                   [&](const entry_peer& item)
                                                   {
                                                       return item.name.str() == name;
                                                   });
                      if (far)
                      {
                          update_routed();
                      }
                      const auto now_in_force = table.load();
                      for (const auto& [service, lane] : now_in_force->lanes)
                      {
                          lane->post(peer_reachable{instance_name(name), up});
                      }
                  });
    }

    // ------------------------------------------------------------------ configuration

    void on_update(const distribution::revision_update& update)
    {
        if (!subscriber.on_update(update))
        {
            report();
            return;
        }
        put_in_force();
        log(log_level::info, "revision_in_force", {{"revision", subscriber.revision()}});
        report();
        note_confirmed();
    }

    void on_confirmation(const distribution::revision_confirmation& word)
    {
        subscriber.on_confirmation(word, clock.now());
        note_confirmed();
        if (word.instances != entries && word.instances > 0)
        {
            entries = word.instances;
            log(log_level::info, "entries", {{"count", entries}});
            update_routed();
        }
    }

    void note_confirmed()
    {
        const auto age = subscriber.age(clock.now());
        if (!subscriber.is_confirmed() || !age)
        {
            return;
        }
        const bool first = confirmed_at_us.load(std::memory_order_relaxed) == 0;
        confirmed_at_us.store((clock.now() - *age).since_start().us(), std::memory_order_release);
        if (first)
        {
            log(log_level::info, "serving", {{"revision", subscriber.revision()}});
            if (routed)
            {
                routed->open();
            }
        }
    }

    void put_in_force()
    {
        update_routed();
        if (settings.callers.port == 0)
        {
            return;
        }
        auto placed = std::make_shared<const placement>(place(subscriber.revision(), *subscriber.current()));
        auto next = std::make_shared<routing>();
        next->placed = placed;
        const auto before = table.load();
        for (const auto& [name, service] : placed->services)
        {
            const auto known = before->lanes.find(name);
            const bool fresh = known == before->lanes.end();
            auto lane = fresh ? std::make_shared<service_lane>(lanes, name) : known->second;
            if (fresh)
            {
                tell_peers(*lane);
            }
            next->lanes.emplace(name, std::move(lane));
        }
        configure_pools(*placed, before->placed.get());
        for (const auto& [name, lane] : before->lanes)
        {
            lane->post(placement_changed{placed});
        }
        for (const auto& [name, lane] : next->lanes)
        {
            if (before->lanes.count(name) == 0)
            {
                lane->post(placement_changed{placed});
                tell_list(*lane);
            }
        }
        table.store(next);
        want_peers();
    }

    void tell_peers(service_lane& lane)
    {
        for (const std::string& name : reachable)
        {
            lane.post(peer_reachable{instance_name(name), true});
        }
    }

    void tell_list(service_lane& lane)
    {
        for (const auto& [server, leaving] : listed_leaving)
        {
            lane.post(listed{server, leaving});
        }
    }

    void want_peers()
    {
        std::vector<named_address> peers = control;
        for (const entry_peer& item : far_entries)
        {
            if (const auto at = parse_address(item.address))
            {
                peers.push_back({item.name.str(), *at});
            }
        }
        const auto now_in_force = table.load();
        const std::map<instance_name, instance> none;
        for (const auto& [name, item] : now_in_force->placed ? now_in_force->placed->instances : none)
        {
            const auto at = parse_address(item.address);
            if (at && name.str() != settings.instance.name)
            {
                peers.push_back({name.str(), *at});
            }
        }
        links.want(peers);
    }

    void configure_pools(const placement& placed, const placement* before)
    {
        std::set<backend_server_name> kept;
        for (const auto& [name, service] : placed.services)
        {
            const auto instances = static_cast<int>(placed.instances.size());
            const int candidates = dispatch::candidate_count(service, std::max(instances, 1));
            bool owned = false;
            for (std::size_t shard = 0; shard < service.shards.size(); ++shard)
            {
                if (shard % dispatch::shards_per_owner == 0)
                {
                    owned = first_owner(name, static_cast<int>(shard), placed);
                }
                for (const backend_server& server : service.shards[shard])
                {
                    const auto at = parse_address(server.address);
                    const dispatch::connection_share share = dispatch::share_of(server, candidates);
                    kept.insert(server.name);
                    // Connections are kept ready where this instance is the one that will use them.
                    pools.configure(server.name, at.value_or(address{}), share.connections,
                                    owned ? share.connections : 0);
                }
            }
        }
        if (before == nullptr)
        {
            return;
        }
        for (const auto& [name, service] : before->services)
        {
            for (const auto& replicas : service.shards)
            {
                for (const backend_server& server : replicas)
                {
                    if (kept.count(server.name) == 0)
                    {
                        pools.remove(server.name);
                    }
                }
            }
        }
    }

    bool first_owner(const service_name& service, int shard, const placement& placed) const
    {
        const int group = shard / dispatch::shards_per_owner;
        for (const instance_name& candidate : dispatch::owner_candidates(service, group, placed))
        {
            const bool self = candidate == lanes.self;
            if (self || reachable.count(candidate.str()) > 0)
            {
                return self;
            }
        }
        return true;
    }

    void report()
    {
        const registration_digest known{registered.digest()};
        for (const named_address& replica : control)
        {
            links.send(replica.name, subscriber.report());
            if (routed)
            {
                links.send(replica.name, known);
            }
        }
    }

    // ------------------------------------------------------------------ the platform's list

    void poll_platform()
    {
        while (!stopping)
        {
            const auto reply = http_call(settings.platform_list, http_request{"GET", "/instances", "", {}},
                                         platform_timeout_ms);
            const nlohmann::json list =
                reply ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json();
            if (list.is_array())
            {
                net::post(strand,
                          [this, list]
                          {
                              on_list(list);
                          });
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(settings.platform_poll_interval_ms));
        }
    }

    void on_list(const nlohmann::json& list)
    {
        const auto now_in_force = table.load();
        for (const auto& item : list)
        {
            if (!item.is_object() || !item.contains("name") || !item["name"].is_string())
            {
                continue;
            }
            const backend_server_name server(item["name"].get<std::string>());
            const bool leaving = item.value("state", std::string()) == "leaving";
            const auto known = listed_leaving.find(server);
            if (known != listed_leaving.end() && known->second == leaving)
            {
                continue;
            }
            listed_leaving[server] = leaving;
            log(log_level::info, "platform_list", {{"backend_server", server.str()}, {"leaving", leaving}});
            for (const auto& [name, lane] : now_in_force->lanes)
            {
                lane->post(listed{server, leaving});
            }
        }
    }

    // ------------------------------------------------------------------ life

    template <typename Work>
    void repeat(net::steady_timer& timer, duration every, Work work)
    {
        timer.expires_after(std::chrono::microseconds(every.us()));
        timer.async_wait(
            [this, &timer, every, work](const boost::system::error_code& stopped)
            {
                if (!stopped)
                {
                    work();
                    repeat(timer, every, work);
                }
            });
    }

    void on_signal()
    {
        signals.async_wait(
            [this](const boost::system::error_code& stopped, int number)
            {
                if (stopped)
                {
                    return;
                }
                if (number == SIGHUP)
                {
                    log(log_level::info, "reload_ignored", {{"reason", "settings hold from start to stop"}});
                    on_signal();
                    return;
                }
                if (draining)
                {
                    log(log_level::warning, "stopped_at_once", {{"in_flight", callers.in_flight()}});
                    io.stop();
                    return;
                }
                net::post(strand,
                          [this]
                          {
                              drain();
                          });
                on_signal();
            });
    }

    void drain()
    {
        draining = true;
        drain_until = clock.now() + duration::from_ms(settings.drain_bound_ms);
        drain_end = drain_until + duration::from_ms(settings.drain_bound_ms * settings.drain_end_share);
        drained_at_least = clock.now() + duration::from_ms(settings.least_drain_ms);
        if (routed)
        {
            routed->close_after_reply();
        }
        log(log_level::info, "draining",
            {{"in_flight", callers.in_flight()}, {"bound_ms", settings.drain_bound_ms}});
        // New connections go on being accepted until the balancer has noticed; see docs/OPERATIONS.md.
        check_drained(0);
    }

    void check_drained(int quiet_checks)
    {
        constexpr duration check_every = duration::from_ms(50);
        constexpr int quiet_needed = 20;
        std::size_t open = callers.in_flight() + (routed ? routed->in_flight() : 0);
        for (const auto& [name, lane] : table.load()->lanes)
        {
            open += lane->open_queries();
        }
        const int quiet = open == 0 ? quiet_checks + 1 : 0;
        const time_point now = clock.now();
        const bool quiet_long = quiet >= quiet_needed && now >= drained_at_least;
        if (quiet_long || (now >= drain_until && open == 0) || now >= drain_end)
        {
            log(log_level::info, "stopped", {{"in_flight", open}});
            io.stop();
            return;
        }
        if (now >= drain_until && !closing)
        {
            // Callers that still use their connections find them closed; what was read is answered.
            closing = true;
            callers.drain();
            if (routed)
            {
                routed->drain();
            }
        }
        drain_timer.expires_after(std::chrono::microseconds(check_every.us()));
        drain_timer.async_wait(
            [this, quiet](const boost::system::error_code& stopped)
            {
                if (!stopped)
                {
                    check_drained(quiet);
                }
            });
    }
};

entry_process::entry_process(entry_settings settings)
    : m_implementation(std::make_unique<implementation>(std::move(settings)))
{
}

entry_process::~entry_process() = default;

findings entry_process::open()
{
    implementation& self = *m_implementation;
    findings found;
    if (self.routed && self.routed->listen(self.settings.routed))
    {
        found.error(errc::address_in_use, "/listen/routed", self.settings.routed.str());
    }
    if (self.settings.callers.port != 0 && self.callers.listen(self.settings.callers))
    {
        found.error(errc::address_in_use, "/listen/callers", self.settings.callers.str());
    }
    if (self.operators.listen(self.settings.operators))
    {
        found.error(errc::address_in_use, "/listen/operators", self.settings.operators.str());
    }
    std::string why;
    if (!self.links.listen(self.settings.link, why))
    {
        found.error(errc::address_in_use, "/listen/link", self.settings.link.str() + ": " + why);
    }
    return found;
}

int entry_process::run()
{
    implementation& self = *m_implementation;
    self.links.want(self.settings.control);
    self.links.start();
    self.repeat(self.link_timer, std::max(link_tick, self.settings.links.heartbeat * link_tick_share),
                [&self]
                {
                    self.links.tick();
                });
    self.repeat(self.report_timer, self.settings.report_every,
                [&self]
                {
                    self.report();
                });
    self.repeat(self.pools_timer, pools_every,
                [&self]
                {
                    const auto now_in_force = self.table.load();
                    if (now_in_force->placed)
                    {
                        self.configure_pools(*now_in_force->placed, nullptr);
                    }
                });
    self.on_signal();
    if (self.settings.platform_list.port != 0)
    {
        self.platform_poller = std::thread(
            [&self]
            {
                self.poll_platform();
            });
    }
    log(log_level::info, "started",
        {{"callers", self.settings.callers.str()},
         {"routed", self.settings.routed.str()},
         {"operators", self.settings.operators.str()}});
    std::vector<std::thread> threads;
    for (int i = 0; i < self.settings.threads; ++i)
    {
        threads.emplace_back(
            [&self]
            {
                run_guarded(self.io);
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    self.stopping = true;
    if (self.platform_poller.joinable())
    {
        self.platform_poller.join();
    }
    flush_log();
    return 0;
}

findings entry_process::serve(const address& at, gateway_handler handler)
{
    implementation& self = *m_implementation;
    findings found;
    self.gateway = std::make_unique<http_server>(
        self.io, limits_of(self.settings),
        [this, handler = std::move(handler)](const http_request& request, const http_server::respond& respond)
        {
            respond(handler(*this, request));
        });
    if (self.gateway->listen(at))
    {
        found.error(errc::address_in_use, "/listen", at.str());
    }
    return found;
}

bool entry_process::is_ready() const
{
    const implementation& self = *m_implementation;
    return !self.draining && self.confirmed_at_us.load(std::memory_order_relaxed) != 0;
}

} // namespace flaxtiller::shell
