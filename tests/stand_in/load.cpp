#include "load.hpp"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace flaxtiller::stand_in
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

using clock = std::chrono::steady_clock;

http::request<http::string_body> make_request(const std::string& path, const std::string& body, int number)
{
    constexpr unsigned http_version = 11;
    http::request<http::string_body> request(http::verb::post, path, http_version);
    request.set(http::field::host, "load");
    // For a call straight to a backend server.
    request.set("X-Request-Id", "load-" + std::to_string(number));
    request.set("X-Shard", "0");
    request.set("X-Shards", "1");
    request.set("X-Deadline-Ms", "1000");
    request.keep_alive(true);
    request.body() = body;
    request.prepare_payload();
    return request;
}

} // namespace

int run_load(const shell::address& target, const std::string& path, const std::string& body, int connections,
             int seconds)
{
    std::mutex mutex;
    std::vector<double> latencies;
    int failures = 0;
    const auto until = clock::now() + std::chrono::seconds(seconds);
    const auto work = [&](int thread)
    {
        std::vector<double> own;
        int failed = 0;
        try
        {
            net::io_context io;
            beast::tcp_stream stream(io);
            stream.connect({net::ip::make_address(target.ip), target.port});
            stream.socket().set_option(net::ip::tcp::no_delay(true));
            beast::flat_buffer buffer;
            for (int i = 0; clock::now() < until; ++i)
            {
                constexpr int ids_a_thread = 10000000;
                const auto begin = clock::now();
                http::write(stream, make_request(path, body, thread * ids_a_thread + i));
                http::response<http::string_body> response;
                http::read(stream, buffer, response);
                failed += response.result_int() == 200 ? 0 : 1;
                own.push_back(std::chrono::duration<double, std::milli>(clock::now() - begin).count());
            }
        }
        catch (const std::exception&)
        {
            ++failed;
        }
        const std::scoped_lock lock(mutex);
        latencies.insert(latencies.end(), own.begin(), own.end());
        failures += failed;
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < connections; ++i)
    {
        threads.emplace_back(work, i);
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    std::sort(latencies.begin(), latencies.end());
    const auto at = [&](double share)
    {
        const auto last = static_cast<double>(latencies.size() - 1);
        return latencies.empty() ? 0.0 : latencies[static_cast<std::size_t>(share * last)];
    };
    fmt::print(R"({{"requests":{},"failures":{},"a_second":{:.0f},"p50_ms":{:.3f},"p99_ms":{:.3f}}})"
               "\n",
               latencies.size(), failures, static_cast<double>(latencies.size()) / seconds, at(0.5),
               at(0.99));
    return failures == 0 ? 0 : 1;
}

} // namespace flaxtiller::stand_in
