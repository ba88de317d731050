#pragma once

#include "behaviour.hpp"

#include "http/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace flaxtiller::stand_in
{

/// @brief A stand-in backend server over HTTP, by docs/protocols.md; single-threaded.
class backend
{
  public:
    backend(boost::asio::io_context& io, std::string name, behaviour wanted,
            shell::http_server::limits limits, std::uint64_t seed);

    std::error_code listen(const shell::address& at);

  private:
    using respond = shell::http_server::respond;

    struct work
    {
        shell::http_request request;
        respond reply;
        std::string id;
        std::string version;
        std::unique_ptr<boost::asio::steady_timer> timer;
        double arrived_ms = 0;
        /// The shard that it held when the work arrived, and that it runs the work on.
        int shard = 0;
    };

    struct run
    {
        std::string id;
        std::string body;
        std::string version;
        std::string end;
    };

    void on_request(const shell::http_request& request, const respond& reply);
    void on_subquery(const shell::http_request& request, const respond& reply);
    void on_cancel(const shell::http_request& request, const respond& reply);
    void on_control(const shell::http_request& request, const respond& reply);
    std::string pick_version(const shell::http_request& request) const;
    void begin(work item);
    void finish(const std::string& id);
    void start_waiting();
    bool draw(double share);
    shell::http_reply make_reply(const work& item, int status) const;
    shell::http_reply not_run(const work& item, int status) const;
    nlohmann::json runs() const;
    static double now_ms();

    boost::asio::io_context& m_io;
    std::string m_name;
    behaviour m_behaviour;
    std::mt19937_64 m_random;
    std::unordered_map<std::string, work> m_running;
    std::deque<work> m_waiting;
    std::vector<run> m_runs;
    std::unordered_map<std::string, std::size_t> m_run_index;
    std::size_t m_most_in_use = 0;
    std::size_t m_not_run = 0;
    shell::http_server m_server;
};

} // namespace flaxtiller::stand_in
