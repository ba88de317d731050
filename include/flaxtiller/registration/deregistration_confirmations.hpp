#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/member_set.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief Identifies a deregistration that waits for its confirmation, within one control process.
using deregistration_number = std::uint64_t;

/// @brief Decides when a control replica confirms deregistrations to the backend servers. Deterministic.
///
/// A backend server that deregistered says nothing more, so what was confirmed to it must not be forgotten,
/// whichever replica ends or loses its disk, and also if all end at the same time. A deregistration is
/// therefore confirmed once a majority of the voters has saved it. It is refused once that can't be reached
/// with the voters that have a link, or not in time; the backend server then asks another replica.
class deregistration_confirmations
{
  public:
    /// Backend servers wait a second for the answer.
    static constexpr duration time_limit = duration::from_ms(800);

    /// @brief The end of the wait.
    struct decision
    {
        deregistration_number number = 0;
        backend_server_name id;
        bool is_confirmed = false;
        /// The replicas that had saved the deregistration.
        std::set<std::string> saved_by;
        /// The time since the request.
        duration took{};

        bool operator==(const decision&) const = default;
    };

    /// @param self the name of this replica
    /// @param first_number the first number to use; it must differ between runs of a process, as answers to
    /// an earlier run may arrive late
    deregistration_confirmations(std::string self, deregistration_number first_number)
        : m_self(std::move(self)), m_next_number(first_number)
    {
    }

    /// @brief Begins to wait for the confirmation of a deregistration.
    /// @param members the members of the replicated log; the voters among them count
    /// @return its number
    deregistration_number begin(const backend_server_name& id, quorum::member_set members, time_point now);

    /// @brief Takes in that a replica has saved a deregistration. Unknown numbers are ignored.
    void on_saved(deregistration_number number, const std::string& replica);

    /// @brief Ends the waits that can be decided.
    /// @param reachable the processes to which this replica has a link
    std::vector<decision> take_decisions(const std::set<std::string>& reachable, time_point now);

    /// @return whether no deregistration waits
    bool empty() const noexcept
    {
        return m_waiting.empty();
    }

  private:
    struct waiting
    {
        backend_server_name id;
        quorum::member_set members;
        std::set<std::string> saved_by;
        time_point since;
    };

    bool can_be_confirmed(const waiting& item, const std::set<std::string>& reachable) const;

    std::string m_self;
    deregistration_number m_next_number;
    std::map<deregistration_number, waiting> m_waiting;
};

} // namespace flaxtiller
