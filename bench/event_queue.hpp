#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace flaxtiller::bench
{

/// @brief Virtual time: runs events in order of their moment, and of their making where moments are equal.
class event_queue
{
  public:
    using handler = std::function<void()>;

    time_point now() const noexcept
    {
        return m_now;
    }

    void at(time_point when, handler run)
    {
        m_events.push({when, m_next++, std::move(run)});
    }

    void after(duration span, handler run)
    {
        at(m_now + span, std::move(run));
    }

    /// @brief Runs the next event.
    /// @return false if there was none
    bool step()
    {
        if (m_events.empty())
        {
            return false;
        }
        event next = std::move(const_cast<event&>(m_events.top()));
        m_events.pop();
        m_now = next.when;
        next.run();
        return true;
    }

  private:
    struct event
    {
        time_point when;
        std::uint64_t number;
        handler run;

        bool operator<(const event& other) const noexcept
        {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    time_point m_now{};
    std::uint64_t m_next = 0;
    std::priority_queue<event> m_events;
};

} // namespace flaxtiller::bench
