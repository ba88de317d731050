#include "control_client.hpp"

#include "http/http_call.hpp"
#include "http/http_status.hpp"

#include <flaxtiller/core/clock.hpp>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <sstream>
#include <thread>
#include <vector>

DEFINE_string(control, "127.0.0.1:8251", "operator addresses of the control replicas, comma-separated");
DEFINE_int32(
    timeout_ms, 10000,
    "time limit of the command, in milliseconds; requests to the control replicas are retried until then");

namespace flaxtiller::command
{

namespace
{

constexpr int call_timeout_ms = 3000;
constexpr auto retry_interval = std::chrono::milliseconds(100);

/// @return the addresses of --control; malformed ones are printed and skipped
std::vector<shell::address> control_addresses()
{
    std::vector<shell::address> parsed;
    std::istringstream stream(FLAGS_control);
    for (std::string part; std::getline(stream, part, ',');)
    {
        const auto at = shell::parse_address(part);
        if (at)
        {
            parsed.push_back(*at);
        }
        else
        {
            fmt::print(stderr, "--control: {} is not of the form IP:port\n", part);
        }
    }
    return parsed;
}

} // namespace

std::optional<shell::http_reply> call_leader(const shell::http_request& request)
{
    const monotonic_clock clock;
    const time_point retry_deadline = clock.now() + duration::from_ms(FLAGS_timeout_ms);
    const auto replicas = control_addresses();
    std::optional<shell::http_reply> last_reply;
    while (!replicas.empty())
    {
        for (const shell::address& at : replicas)
        {
            auto reply = shell::http_call(at, request, std::min(call_timeout_ms, FLAGS_timeout_ms));
            if (reply && reply->status != shell::http_not_leader && reply->status != shell::http_unavailable)
            {
                return reply;
            }
            if (reply)
            {
                last_reply = std::move(reply);
            }
        }
        if (clock.now() >= retry_deadline)
        {
            break;
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return last_reply;
}

} // namespace flaxtiller::command
