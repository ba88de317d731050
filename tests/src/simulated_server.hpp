#pragma once

#include "event_queue.hpp"

#include <flaxtiller/dispatch/load_report.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <utility>

namespace flaxtiller::test
{

using bench::event_queue;
using dispatch::load_report;

/// @brief What a simulated backend server reports as its load.
enum class report_kind
{
    none,
    current,
    /// The load one second before.
    late,
    frozen,
    /// Backend servers with work report none, and idle ones report a long queue.
    inverted,
    random,
};

/// @brief A backend server with a speed, slow periods and pauses.
class simulated_server
{
  public:
    static constexpr int slots = 2;

    simulated_server(event_queue& events, double speed, unsigned seed)
        : m_events(events), m_speed(speed), m_random(seed)
    {
        m_pause_phase_ms = std::uniform_real_distribution<double>(0.0, pause_period_ms)(m_random);
    }

    void run(double work_ms, std::function<void()> begins, std::function<void()> ends)
    {
        m_waiting.push_back({work_ms, std::move(begins), std::move(ends)});
        begin_next();
    }

    double slowdown()
    {
        constexpr double slow_period_ms = 600.0;
        const auto period = static_cast<std::int64_t>((m_events.now() - time_point()).ms() / slow_period_ms);
        if (period != m_period)
        {
            m_period = period;
            m_slow = std::bernoulli_distribution(0.15)(m_random);
        }
        return m_slow ? 2.5 : 1.0;
    }

    double expected_ms(double work_ms)
    {
        const double ahead = std::max(0.0, static_cast<double>(m_running + m_waiting.size()) + 1.0 - slots);
        return work_ms * slowdown() / m_speed * (1.0 + ahead / slots);
    }

    load_report report(report_kind kind)
    {
        const load_report current{m_running, static_cast<int>(m_waiting.size()), slots, slowdown()};
        m_history.emplace_back(m_events.now(), current);
        while (m_history.size() > 1 && m_events.now() - m_history[1].first >= duration::from_ms(1000))
        {
            m_history.pop_front();
        }
        const bool busy = current.running + current.waiting >= slots;
        switch (kind)
        {
        case report_kind::late:
            return m_history.front().second;
        case report_kind::frozen:
            m_first = m_first.value_or(current);
            return *m_first;
        case report_kind::inverted:
            return busy ? load_report{0, 0, slots, 1.0} : load_report{slots, 4, slots, 1.0};
        case report_kind::random:
            return {slots, std::uniform_int_distribution<int>(0, 6)(m_random), slots, 1.0};
        case report_kind::none:
        case report_kind::current:
            break;
        }
        return current;
    }

  private:
    static constexpr double pause_period_ms = 6000.0;
    static constexpr double pause_ms = 250.0;

    struct work
    {
        double ms;
        std::function<void()> begins;
        std::function<void()> ends;
    };

    double pause_left_ms() const
    {
        const double into =
            std::fmod((m_events.now() - time_point()).ms() + m_pause_phase_ms, pause_period_ms);
        return into < pause_ms ? pause_ms - into : 0.0;
    }

    void begin_next()
    {
        if (m_running >= slots || m_waiting.empty())
        {
            return;
        }
        ++m_running;
        auto next = std::make_shared<work>(std::move(m_waiting.front()));
        m_waiting.pop_front();
        m_events.after(duration::from_ms(pause_left_ms()),
                       [this, next]
                       {
                           next->begins();
                           m_events.after(duration::from_ms(next->ms * slowdown() / m_speed),
                                          [this, next]
                                          {
                                              --m_running;
                                              begin_next();
                                              next->ends();
                                          });
                       });
    }

    event_queue& m_events;
    double m_speed;
    std::mt19937 m_random;
    double m_pause_phase_ms = 0.0;
    std::int64_t m_period = -1;
    bool m_slow = false;
    std::deque<work> m_waiting;
    int m_running = 0;
    std::deque<std::pair<time_point, load_report>> m_history;
    std::optional<load_report> m_first;
};

} // namespace flaxtiller::test
