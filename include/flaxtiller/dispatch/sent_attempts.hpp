#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <vector>

namespace flaxtiller::dispatch
{

/// @brief The attempts of one subquery that were sent to backend servers, where refused ones do not use up
/// the attempts that a route allows.
///
/// The limit of the route bounds the attempts that may have run, and the different backend servers that the
/// subquery is sent to. Backend servers are identified by name, so that the bound also holds after a change
/// of the placement.
class sent_attempts
{
  public:
    /// @brief Records that an attempt is sent.
    void add(const backend_server_name& server);

    /// @brief Removes an attempt whose connection could not be established, as nothing was sent.
    void remove_unsent(const backend_server_name& server);

    /// @brief Records that one of the attempts was refused, and therefore did not run.
    void add_refusal() noexcept;

    /// @return whether an attempt was sent to the backend server
    bool includes(const backend_server_name& server) const;

    /// @return whether an attempt on the backend server keeps to the bounds on backend servers
    /// @param most_servers the maximum number of different backend servers; 0 for no limit
    /// @param designated where not empty, at most one other backend server is used; see
    /// @ref subquery::designated
    bool may_send_to(const backend_server_name& server, int most_servers,
                     const backend_server_name& designated = {}) const;

    /// @return whether another attempt may be sent
    /// @param most_run the maximum number of attempts that were not refused; 0 for no limit
    /// @param most_sent the maximum number of attempts, including refused ones
    bool has_attempts_left(int most_run, int most_sent) const noexcept;

    bool operator==(const sent_attempts&) const = default;

  private:
    int count_servers() const;
    bool includes_other_than(const backend_server_name& server, const backend_server_name& designated) const;

    /// The backend server of each attempt, in the order of sending.
    std::vector<backend_server_name> m_servers;
    int m_refused = 0;
};

} // namespace flaxtiller::dispatch
