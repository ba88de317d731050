#pragma once

#include "connection_table.hpp"
#include "http_server.hpp"

#include <flaxtiller/core/clock.hpp>
#include <flaxtiller/core/rcu_cell.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <memory>

namespace flaxtiller::shell
{

/// @brief What a server and its connections share.
struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(boost::asio::io_context& context, limits initial, handler request_handler);

    /// @brief Accepts connections until the server is drained.
    boost::asio::awaitable<void> accept_loop();

    /// @brief Makes room for a connection if there are as many as the limit allows.
    /// @return whether one more may be opened
    bool admits_connection();

    boost::asio::io_context& io;
    rcu_cell<limits> active_limits;
    handler handle;
    refusal_handler on_refusal;
    boost::asio::ip::tcp::acceptor acceptor;
    monotonic_clock clock;
    connection_table table;
    std::atomic<bool> draining{false};
    std::atomic<bool> closing{false};
    std::atomic<std::size_t> in_flight{0};
    std::atomic<std::size_t> most_seen{0};
    std::atomic<std::size_t> connections_refused{0};
    std::atomic<std::size_t> requests_refused{0};
};

} // namespace flaxtiller::shell
