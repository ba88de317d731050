#pragma once

#include "event_queue.hpp"
#include "situation.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

namespace flaxtiller::bench
{

/// @brief How a model server ended an attempt.
enum class model_end
{
    answered,
    shed,
    cancelled,
    unreachable,
};

/// @brief A backend server in virtual time: slots, a queue or shedding, stragglers, cancellation.
class model_server
{
  public:
    using reply = std::function<void(model_end)>;

    model_server(event_queue& events, std::mt19937_64& random, const situation& wanted)
        : m_events(events), m_random(random), m_situation(wanted)
    {
    }

    static constexpr int slots = 2;
    static constexpr double median_work_ms = 4.62;
    static constexpr double work_sigma = 0.4;
    /// The mean of the log-normal work without stragglers.
    static constexpr double mean_work_ms = 5.0;

    /// @brief Work arrives; @a done is called when it ends.
    void run(std::uint64_t attempt, reply done)
    {
        if (m_down)
        {
            done(model_end::unreachable);
            return;
        }
        if (m_running.size() < slots)
        {
            begin(attempt, std::move(done));
        }
        else if (m_situation.when_full == when_full::shed)
        {
            done(model_end::shed);
        }
        else
        {
            m_waiting.push_back({attempt, std::move(done)});
        }
        m_most_in_use = std::max(m_most_in_use, static_cast<int>(m_running.size() + m_waiting.size()));
    }

    /// @brief A cancel arrives.
    void cancel(std::uint64_t attempt)
    {
        if (m_situation.cancel_ignored)
        {
            return;
        }
        const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                          [&](const waiting_work& w)
                                          {
                                              return w.attempt == attempt;
                                          });
        if (waiting != m_waiting.end())
        {
            const reply done = std::move(waiting->done);
            m_waiting.erase(waiting);
            done(model_end::cancelled);
            return;
        }
        end(attempt, model_end::cancelled);
    }

    void set_factor(double factor) noexcept
    {
        m_factor = factor;
    }

    /// @brief Goes down, losing all work, or comes up.
    void set_down(bool down)
    {
        m_down = down;
        while (down && !m_running.empty())
        {
            end(m_running.begin()->first, model_end::unreachable);
        }
    }

    std::uint64_t begun() const noexcept
    {
        return m_begun;
    }

    int most_in_use() const noexcept
    {
        return m_most_in_use;
    }

  private:
    struct waiting_work
    {
        std::uint64_t attempt;
        reply done;
    };

    duration draw_work()
    {
        std::lognormal_distribution<double> work(std::log(median_work_ms), work_sigma);
        std::bernoulli_distribution straggles(m_situation.straggler_share);
        const double base = work(m_random) * m_factor;
        return duration::from_ms(base + (straggles(m_random) ? m_situation.straggler_ms : 0.0));
    }

    void begin(std::uint64_t attempt, reply done)
    {
        ++m_begun;
        m_running.emplace(attempt, std::move(done));
        m_events.after(draw_work(),
                       [this, attempt]
                       {
                           end(attempt, model_end::answered);
                       });
    }

    void end(std::uint64_t attempt, model_end how)
    {
        const auto found = m_running.find(attempt);
        if (found == m_running.end())
        {
            return;
        }
        const reply done = std::move(found->second);
        m_running.erase(found);
        done(how);
        if (!m_waiting.empty() && !m_down)
        {
            waiting_work next = std::move(m_waiting.front());
            m_waiting.pop_front();
            begin(next.attempt, std::move(next.done));
        }
    }

    event_queue& m_events;
    std::mt19937_64& m_random;
    const situation& m_situation;
    std::unordered_map<std::uint64_t, reply> m_running;
    std::deque<waiting_work> m_waiting;
    double m_factor = 1.0;
    bool m_down = false;
    std::uint64_t m_begun = 0;
    int m_most_in_use = 0;
};

} // namespace flaxtiller::bench
