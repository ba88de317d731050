// Stand-ins for tests and the quickstart: a backend server, the platform's list, a relay that cuts
// connections.

#include "backend.hpp"
#include "load.hpp"
#include "platform_list.hpp"
#include "relay.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>

DEFINE_string(role, "backend", "backend, list, relay or load");
DEFINE_string(name, "b", "the backend server's name");
DEFINE_string(listen, "127.0.0.1:9000", "address to listen at");
DEFINE_string(target, "", "relay and load: the address to relay to or to ask");
DEFINE_string(path, "/query", "load: what to ask");
DEFINE_string(body, "", "load: the request's body");
DEFINE_int32(connections, 1, "load: connections, each asked over by a thread of its own");
DEFINE_int32(seconds, 3, "load: how long");
DEFINE_string(behaviour, "{}", "backend: JSON, see behaviour.hpp");
DEFINE_int32(connection_limit, 25, "backend: connections accepted at once");
DEFINE_int32(connection_cost_ms, 6, "backend: what a new connection costs");
DEFINE_int32(lag_ms, 1000, "list: how late a change shows");
DEFINE_uint64(seed, 1, "backend: seed of its draws");

namespace
{

using namespace flaxtiller;

template <typename Server>
int serve(boost::asio::io_context& io, Server& server, const shell::address& at)
{
    if (server.listen(at))
    {
        fmt::print(stderr, "stand_in: {} is in use\n", at.str());
        return 1;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [&io](const boost::system::error_code&, int)
        {
            io.stop();
        });
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    const auto at = shell::parse_address(FLAGS_listen);
    if (!at)
    {
        fmt::print(stderr, "stand_in: --listen must be IP:port\n");
        return 2;
    }
    boost::asio::io_context io(1);
    if (FLAGS_role == "list")
    {
        stand_in::platform_list list(io, FLAGS_lag_ms);
        return serve(io, list, *at);
    }
    if (FLAGS_role == "load")
    {
        const auto target = shell::parse_address(FLAGS_target);
        return target ? stand_in::run_load(*target, FLAGS_path, FLAGS_body, FLAGS_connections, FLAGS_seconds)
                      : 2;
    }
    if (FLAGS_role == "relay")
    {
        const auto target = shell::parse_address(FLAGS_target);
        if (!target)
        {
            fmt::print(stderr, "stand_in: --target must be IP:port\n");
            return 2;
        }
        stand_in::relay relay(io, *target);
        return serve(io, relay, *at);
    }
    shell::http_server::limits limits;
    limits.most_connections = static_cast<std::size_t>(FLAGS_connection_limit);
    limits.refuses_connections = true;
    limits.new_connection_cost_ms = FLAGS_connection_cost_ms;
    limits.request_timeout_ms = 600000;
    const auto behaviour = nlohmann::json::parse(FLAGS_behaviour).get<stand_in::behaviour>();
    stand_in::backend server(io, FLAGS_name, behaviour, limits, FLAGS_seed);
    return serve(io, server, *at);
}
