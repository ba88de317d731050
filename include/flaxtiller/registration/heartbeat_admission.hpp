#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <cstddef>

namespace flaxtiller
{

/// @brief Decides whether a control replica confirms the heartbeats of backend servers. Deterministic.
///
/// A backend server whose heartbeat is confirmed sends it to no other replica. A replica that reaches neither
/// another replica nor an entry can pass the heartbeat on to nobody, and must refuse it.
class heartbeat_admission
{
  public:
    /// The time without contact after which heartbeats are refused. Links that were closed are renewed within
    /// this time, and it is less than the interval between two heartbeats of a backend server.
    static constexpr duration isolated_until_refused = duration::from_ms(500);

    /// @brief Sets whom the replica can pass heartbeats on to.
    /// @param replicas the number of control replicas, including this one; a single one is never isolated
    /// @param reachable the number of reachable replicas and entries
    void set_contact(std::size_t replicas, std::size_t reachable, time_point now) noexcept
    {
        if (replicas <= 1 || reachable > 0)
        {
            m_isolated_since = time_point::never();
        }
        else if (m_isolated_since == time_point::never())
        {
            m_isolated_since = now;
        }
    }

    /// @return whether heartbeats are confirmed
    bool accepts(time_point now) const noexcept
    {
        return m_isolated_since == time_point::never() || now - m_isolated_since < isolated_until_refused;
    }

  private:
    /// Without a call of @ref set_contact, as while the files are read, the time doesn't begin.
    time_point m_isolated_since = time_point::never();
};

} // namespace flaxtiller
