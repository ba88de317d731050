#pragma once

#include "peer_links.hpp"

#include <flaxtiller/register/register_command.hpp>
#include <flaxtiller/register/register_reply.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @brief Asks the register's leader, whichever control replica that is, and asks again until its bound.
class register_client
{
  public:
    using completion = std::function<void(const register_reply&)>;

    register_client(boost::asio::io_context& io, peer_links& links, std::vector<std::string> replicas);

    /// @brief Sends a command. @a done is called exactly once; with `unreachable` if nobody answered in time.
    void call(const register_command& command, duration time_limit, completion done);

    /// @brief A control replica answered.
    void on_return(const std::string& from, const register_return& returned);

  private:
    struct pending_call
    {
        register_command command;
        completion done;
        time_point deadline;
        time_point sent_at;
        std::size_t replica = 0;
    };

    /// An unanswered command is sent to the next replica after this long.
    static constexpr duration replica_timeout = duration::from_ms(150);
    static constexpr duration check_interval = duration::from_ms(25);

    void send(std::uint64_t number, pending_call& item);
    void check();
    void schedule_check();

    peer_links& m_links;
    std::vector<std::string> m_replicas;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    monotonic_clock m_clock;
    bool m_checking = false;
    std::uint64_t m_next_number = 1;
    std::size_t m_leader = 0;
    std::map<std::uint64_t, pending_call> m_calls;
};

} // namespace flaxtiller::shell
