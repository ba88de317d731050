// Slopes for docs/CAPACITY.md: memory and processor time against the number of backend servers, instances,
// keys and changes. One line of JSON a measurement.

#include "distribution_model.hpp"

#include <flaxtiller/catalog/catalog_state.hpp>
#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/dispatch/scheduler.hpp>
#include <flaxtiller/quorum/posix_file_system.hpp>
#include <flaxtiller/quorum/replicated_state_machine.hpp>
#include <flaxtiller/register/register_state.hpp>

#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>

namespace
{

using namespace flaxtiller;

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

template <typename Work>
double seconds(Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

backend_server make_server(int number)
{
    backend_server server;
    server.name = backend_server_name("backend-server-" + std::to_string(number));
    server.address = "10.1.2.3:9000";
    server.availability_zone = "region-1-zone-2";
    server.labels = {{"index", "scooters"}, {"shard", std::to_string(number / 2)}};
    return server;
}

placed_service make_service(int servers)
{
    placed_service placed;
    placed.definition.shards = servers / 2;
    for (int shard = 0; shard < servers / 2; ++shard)
    {
        placed.shards.push_back({make_server(shard * 2), make_server(shard * 2 + 1)});
    }
    return placed;
}

/// Runs @a rounds subqueries over all shards, answered after 5 ms of virtual time.
void dispatch_rounds(dispatch::scheduler& scheduler, int shards, int rounds, time_point& now,
                     std::uint64_t& next)
{
    for (int i = 0; i < rounds; ++i)
    {
        dispatch::subquery wanted;
        wanted.id = next++;
        wanted.shard =
            static_cast<int>((static_cast<std::uint64_t>(i) * 7919U) % static_cast<std::uint64_t>(shards));
        wanted.deadline = now + duration::from_ms(180);
        scheduler.submit(wanted, now);
        now = now + duration::from_ms(5);
        for (const dispatch::action& todo : scheduler.take_actions())
        {
            if (const auto* begun = std::get_if<dispatch::start_attempt>(&todo))
            {
                dispatch::attempt_result result;
                result.status = dispatch::attempt_status::answered;
                scheduler.on_result(begun->attempt, result, now);
            }
        }
        (void)scheduler.take_actions();
    }
}

void measure_scheduler(int servers)
{
    const placed_service placed = make_service(servers);
    const std::size_t before = heap_bytes();
    dispatch::scheduler scheduler;
    time_point now(duration::from_ms(1000));
    scheduler.configure(placed, 5, now);
    const double per_server = static_cast<double>(heap_bytes() - before) / servers;
    std::uint64_t next = 1;
    constexpr int rounds = 200000;
    dispatch_rounds(scheduler, servers / 2, rounds, now, next);
    const double each = seconds(
                            [&]
                            {
                                dispatch_rounds(scheduler, servers / 2, rounds, now, next);
                            }) /
                        rounds;
    const std::size_t idle = heap_bytes();
    constexpr int open = 20000;
    for (int i = 0; i < open; ++i)
    {
        dispatch::subquery wanted;
        wanted.id = next++;
        wanted.shard = i % (servers / 2);
        wanted.deadline = now + duration::from_ms(100000);
        scheduler.submit(wanted, now);
    }
    const double per_subquery = static_cast<double>(heap_bytes() - idle) / open;
    fmt::print(
        R"({{"what":"scheduler","backend_servers":{},"bytes_a_server":{:.0f},"bytes_an_open_subquery":{:.0f},)"
        R"("us_a_subquery":{:.2f}}})"
        "\n",
        servers, per_server, per_subquery, each * 1e6);
}

void measure_configuration(int servers)
{
    configuration value;
    for (int i = 0; i < servers; ++i)
    {
        const backend_server server = make_server(i);
        value.backend_servers.emplace(server.name, server);
    }
    service item;
    item.name = service_name("dispatch");
    item.shards = std::min(servers / 2, 740);
    value.services.emplace(item.name, item);
    placement_rule rule;
    rule.name = "rule";
    value.placement_rules.emplace(rule.name, rule);
    const std::size_t before = heap_bytes();
    const auto copy = std::make_shared<const configuration>(value);
    const std::size_t held = heap_bytes() - before;
    placement placed;
    const double place_s = seconds(
        [&]
        {
            placed = place(1, *copy);
        });
    const std::size_t bytes = nlohmann::json::to_cbor(nlohmann::json(value)).size();
    std::uint64_t digest = 0;
    const double digest_s = seconds(
        [&]
        {
            digest = copy->digest();
        });
    fmt::print(R"({{"what":"configuration","backend_servers":{},"document_bytes":{},"heap_bytes":{},)"
               R"("place_ms":{:.1f},"digest_ms":{:.1f},"digest_set":{}}})"
               "\n",
               servers, bytes, held, place_s * 1e3, digest_s * 1e3, digest != 0);
}

void measure_distribution(std::size_t instances)
{
    bench::distribution_model model(instances, 6, 50, distribution::relay_tree::default_fan_out);
    const auto found = model.change();
    fmt::print(R"({{"what":"distribution","instances":{},"p50_ms":{:.1f},"p99_ms":{:.1f},"max_ms":{:.1f},)"
               R"("most_messages_a_node":{},"most_bytes_a_node":{},"report_bytes":{},"in_force":{}}})"
               "\n",
               instances, found.p50_ms, found.p99_ms, found.max_ms, found.most_messages, found.most_bytes,
               found.report_bytes, found.in_force);
}

void measure_register(int keys)
{
    const std::size_t before = heap_bytes();
    register_state state;
    const double each = seconds(
                            [&]
                            {
                                for (int i = 0; i < keys; ++i)
                                {
                                    register_command command;
                                    command.key = request_key("refund-000000-" + std::to_string(i));
                                    command.key_time_ms = 1;
                                    command.asker = "entry-1-0123456789abcdef-dispatch-1234";
                                    (void)state.apply(command);
                                    command.action = register_action::finish;
                                    command.outcome = outcome::run;
                                    command.answer = std::string(200, 'x');
                                    (void)state.apply(command);
                                }
                            }) /
                        keys;
    fmt::print(R"({{"what":"register","keys":{},"bytes_a_key":{:.0f},"us_a_request":{:.2f}}})"
               "\n",
               keys, static_cast<double>(heap_bytes() - before) / keys, each * 1e6);
}

void measure_log(int changes)
{
    using machine = quorum::replicated_state_machine<catalog_state, quorum::posix_file_system>;
    const std::string folder = std::filesystem::temp_directory_path() / "flaxtiller-scale-bench";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    quorum::posix_file_system files;
    const quorum::replica_name name("c1");
    time_point now(duration::from_ms(1000));
    machine node(files, folder, name, quorum::timing{});
    (void)node.open(7, 1, now);
    (void)node.found(now);
    const auto send = [](const quorum::message&) {};
    for (int i = 0; i < 200; ++i)
    {
        now = now + duration::from_ms(10);
        node.tick(now);
        node.pump(send, now);
    }
    const double each =
        seconds(
            [&]
            {
                for (int i = 0; i < changes; ++i)
                {
                    change wanted;
                    wanted.id = change_id("change-" + std::to_string(i));
                    wanted.base_revision = i;
                    wanted.kind = change_kind::patch;
                    wanted.body = {{"upsert", {{"services", {{{"name", "s"}, {"shards", 1 + i % 9}}}}}}};
                    std::string bytes;
                    nlohmann::json::to_cbor(nlohmann::json(wanted), bytes);
                    node.propose(
                        bytes, [](std::error_code, const std::string&) {}, now);
                    node.pump(send, now);
                }
            }) /
        changes;
    std::error_code failed;
    auto probe = files.open(folder + "/probe", failed);
    constexpr int probes = 200;
    const double sync = seconds(
                            [&]
                            {
                                for (int i = 0; i < probes; ++i)
                                {
                                    (void)probe.write(std::string(200, 'x'));
                                    (void)probe.sync();
                                }
                            }) /
                        probes;
    machine again(files, folder, name, quorum::timing{});
    const double recovery = seconds(
        [&]
        {
            (void)again.open(7, 1, now);
        });
    fmt::print(R"({{"what":"log","changes":{},"commit_us":{:.0f},"sync_us":{:.0f},"commit_over_sync":{:.2f},)"
               R"("recovery_ms":{:.1f},"file_bytes":{},"revision":{}}})"
               "\n",
               changes, each * 1e6, sync * 1e6, each / sync, recovery * 1e3, node.file_bytes(),
               node.state().revision());
    std::filesystem::remove_all(folder);
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    for (const int servers : {1000, 4000, 16000})
    {
        measure_scheduler(servers);
    }
    for (const int servers : {1000, 4000, 16000})
    {
        measure_configuration(servers);
    }
    for (const std::size_t instances : {10U, 100U, 300U, 1000U})
    {
        measure_distribution(instances);
    }
    for (const int keys : {10000, 100000})
    {
        measure_register(keys);
    }
    for (const int changes : {100, 1000, 6000})
    {
        measure_log(changes);
    }
    return 0;
}
