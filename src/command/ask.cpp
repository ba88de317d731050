/// @file
/// The subcommands that send one HTTP request to a single process: `dump` and `query`.

#include "commands.hpp"
#include "exit_status.hpp"

#include "http/http_call.hpp"
#include "http/http_status.hpp"
#include "process/system.hpp"

#include <flaxtiller/query/query_answer.hpp>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <sstream>

DEFINE_string(at, "127.0.0.1:8001",
              "the address to ask: an entry's for callers, or a process's for operators");
DEFINE_string(shards, "all", "shard numbers, comma-separated, or all");
DEFINE_double(deadline_ms, 1000, "time limit for the answer, in milliseconds");
DEFINE_string(key, "", "idempotency key; marks the request as one that must not be repeated");
DEFINE_int64(key_time_ms, 0, "creation time of the key, in Unix milliseconds; the present time if 0");
DECLARE_int32(timeout_ms);

namespace flaxtiller::command
{

namespace
{

/// @brief Sends a request to the address of --at.
/// @return the reply, or nothing if the address is malformed or did not answer in time; the reason is printed
std::optional<shell::http_reply> call(const shell::http_request& request)
{
    const auto at = shell::parse_address(FLAGS_at);
    if (!at)
    {
        fmt::print(stderr, "--at: {} is not of the form IP:port\n", FLAGS_at);
        return std::nullopt;
    }
    auto reply = shell::http_call(*at, request, FLAGS_timeout_ms);
    if (!reply)
    {
        fmt::print(stderr, "no answer from {}\n", FLAGS_at);
    }
    return reply;
}

/// @brief Builds the body of a query from the positional arguments and the flags.
nlohmann::json make_query_body(const std::vector<std::string>& arguments)
{
    nlohmann::json request = {{"service", arguments[0]}, {"deadline_ms", FLAGS_deadline_ms}};
    if (arguments.size() > 1)
    {
        request["body"] = arguments[1];
    }
    if (FLAGS_shards != "all")
    {
        request["shards"] = nlohmann::json::parse("[" + FLAGS_shards + "]", nullptr, false);
    }
    if (!FLAGS_key.empty())
    {
        request["repeatable"] = false;
        request["key"] = FLAGS_key;
        request["key_time_ms"] = FLAGS_key_time_ms != 0 ? FLAGS_key_time_ms : shell::unix_ms();
    }
    return request;
}

} // namespace

int run_dump(const std::vector<std::string>& arguments)
{
    if (!arguments.empty())
    {
        fmt::print(stderr, "dump takes no arguments; --at names the operator address of the process\n");
        return usage;
    }
    const auto reply = call({"GET", "/dump", "", {}});
    if (!reply)
    {
        return unreachable;
    }
    fmt::print("{}\n", nlohmann::json::parse(reply->body, nullptr, false).dump(2));
    return reply->status == shell::http_ok ? success : refused;
}

int run_query(const std::vector<std::string>& arguments)
{
    if (arguments.empty() || arguments.size() > 2)
    {
        fmt::print(stderr, "query needs a service and takes an optional body\n");
        return usage;
    }
    const auto reply = call({"POST", "/query", make_query_body(arguments).dump(), {}});
    if (!reply)
    {
        return unreachable;
    }
    const auto body = nlohmann::json::parse(reply->body, nullptr, false);
    fmt::print("{}\n", body.dump(2));
    if (!body.is_object() || reply->status != shell::http_ok)
    {
        const bool unknown = body.is_object() && body.value("outcome", std::string()) == "unknown";
        return unknown ? unknown_outcome : refused;
    }
    return body.value("complete", false) ? success : partial;
}

} // namespace flaxtiller::command
