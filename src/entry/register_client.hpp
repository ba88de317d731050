#pragma once

#include "links/peer_links.hpp"
#include "process/system.hpp"

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

/// @brief Sends the commands of an entry to the register, and receives the replies.
///
/// The register is the replicated store that records which queries have begun and finished, so that a query
/// that isn't repeatable runs at most once. Only the control replica that leads the register answers. The
/// client sends a command to the last known leader, and to the next replica whenever no answer arrives in
/// time, until the time limit of the command. Thread-safe.
class register_client
{
  public:
    using completion = std::function<void(const register_reply&)>;

    register_client(boost::asio::io_context& io, peer_links& links, std::vector<std::string> replicas);

    /// @brief Sets the replicas to ask. Open calls to a replica that isn't among them go to the first one
    /// when their answer is overdue; an empty list leaves them waiting for the next one.
    /// @param replicas names of the replicas
    void set_replicas(std::vector<std::string> replicas);

    /// @brief Sends a command.
    /// @param time_limit how long to try
    /// @param done called exactly once, on the strand of the client; with the status `unreachable` if no
    /// replica answered within @a time_limit
    void call(const register_command& command, duration time_limit, completion done);

    /// @brief Handles the answer of a control replica.
    /// @param from name of the replica
    void on_return(const std::string& from, const register_return& returned);

  private:
    struct pending_call
    {
        register_command command;
        completion done;
        time_point deadline;
        time_point sent_at;
        /// The replica that the command was last sent to; empty if there was none.
        std::string replica;
    };

    /// A command without an answer is sent to the next replica after this time.
    static constexpr duration replica_timeout = duration::from_ms(150);
    static constexpr duration check_interval = duration::from_ms(25);

    /// @return whether the replica is among those to ask
    bool asks(const std::string& replica) const;
    /// @return the replica to ask after @a replica; empty if there is none
    std::string replica_after(const std::string& replica) const;
    void send(std::uint64_t number, pending_call& item);
    void check();
    void schedule_check();

    peer_links& m_links;
    std::vector<std::string> m_replicas;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    monotonic_clock m_clock;
    bool m_checking = false;
    std::uint64_t m_next_number = first_number_of_run();
    /// The replica that last answered as the leader; empty if none did.
    std::string m_leader;
    std::map<std::uint64_t, pending_call> m_calls;
};

} // namespace flaxtiller::shell
