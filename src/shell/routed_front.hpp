#pragma once

#include "connection_pool.hpp"
#include "http_server.hpp"
#include "pools_by_server.hpp"
#include "routed_codec.hpp"

#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/core/clock.hpp>
#include <flaxtiller/registration/registry.hpp>
#include <flaxtiller/routing/router.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <memory>
#include <set>
#include <unordered_map>

namespace flaxtiller::shell
{

/// @brief Takes routed requests over HTTP, and carries out what the @ref router decides.
class routed_front
{
  public:
    routed_front(boost::asio::io_context& io, metrics& counted, const router_options& options,
                 routed_headers names);

    std::error_code listen(const address& at);

    /// @brief Puts a configuration and the registered backend servers in force. Thread-safe; calls must not
    /// overtake one another.
    /// @param entries how many entry instances share the backend servers
    void update(std::int64_t revision, std::shared_ptr<const configuration> value,
                const std::vector<registration>& registered, int entries);

    /// @brief From now on requests are taken; before, all are refused as not run.
    void open();

    /// @brief Serves on, but no connection is kept.
    void close_after_reply();

    /// @brief Takes no more requests; those that were read are answered.
    void drain();

    /// @return requests that aren't replied to yet
    std::size_t in_flight() const noexcept;

    /// @brief Calls @a done with the state of the decisions, on their strand.
    void dump(std::function<void(nlohmann::json)> done);

  private:
    struct caller
    {
        http_server::respond respond;
        std::string id;
        time_point arrived;
    };

    void on_request(const http_request& request, http_server::respond respond);
    void carry_out();
    void carry(const start_routed_attempt& action);
    void carry(const cancel_routed_attempt& action);
    void carry(const answer_request& action);
    void on_reply(const start_routed_attempt& sent, time_point sent_at, http_exchange_result reply);
    void schedule();
    void configure_pools(const placement& placed, int entries);
    nlohmann::json dump_state() const;

    metrics& m_metrics;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    time_point m_timer_at = time_point::never();
    monotonic_clock m_clock;
    const routed_codec m_codec;
    std::atomic<bool> m_open{false};
    std::atomic<request_number> m_next_request{1};
    // On the strand only.
    router m_router;
    pools_by_server<connection_pool> m_pools;
    std::set<backend_server_name> m_servers;
    std::unordered_map<request_number, caller> m_callers;
    std::unordered_map<routed_attempt_number, std::shared_ptr<connection_pool>> m_attempts;
    http_server m_server;
};

} // namespace flaxtiller::shell
