#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <algorithm>

namespace flaxtiller::dispatch
{

/// @brief A budget that fills with finished work, and perhaps with time, and pays for attempts beyond the
/// first.
class token_budget
{
  public:
    /// @param share tokens that one finished subquery earns
    /// @param burst the most tokens kept
    token_budget(double share, double burst) noexcept : m_share(share), m_burst(burst), m_tokens(burst / 2)
    {
    }

    /// @brief One subquery was finished.
    void earn() noexcept
    {
        m_tokens = std::min(m_burst, m_tokens + m_share);
    }

    /// @brief Spends one token.
    /// @return false, and nothing is spent, if there is none
    bool spend() noexcept
    {
        if (!can_spend())
        {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

    /// @brief Changes the most tokens kept, and how many come with time.
    void limit(double burst, double per_ms) noexcept
    {
        m_burst = burst;
        m_per_ms = per_ms;
        m_tokens = std::min(m_tokens, burst);
    }

    /// @brief Takes in what came with time since the last call.
    void advance(time_point now) noexcept
    {
        m_tokens = tokens_at(now);
        m_advanced_to = now;
    }

    /// @return the tokens that there will be if none is spent or earned until then
    double tokens_at(time_point then) const noexcept
    {
        return std::min(m_burst, m_tokens + std::max((then - m_advanced_to).ms(), 0.0) * m_per_ms);
    }

    /// @return when time alone will have brought a whole token; never if it won't
    time_point next_token_at() const noexcept
    {
        if (m_burst < 1.0 || (m_per_ms <= 0.0 && m_tokens < 1.0))
        {
            return time_point::never();
        }
        return m_tokens >= 1.0 ? m_advanced_to
                               : m_advanced_to + duration::from_ms((1.0 - m_tokens) / m_per_ms);
    }

    /// @return whether there is a token
    bool can_spend() const noexcept
    {
        return m_tokens >= 1.0;
    }

    /// @return the tokens at hand
    double tokens() const noexcept
    {
        return m_tokens;
    }

  private:
    double m_share;
    double m_burst;
    double m_tokens;
    double m_per_ms = 0.0;
    time_point m_advanced_to{};
};

} // namespace flaxtiller::dispatch
