#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <algorithm>

namespace flaxtiller::dispatch
{

/// @brief A token bucket that limits extra attempts (retries and hedges) to a share of the load.
///
/// Finished subqueries add tokens, and optionally time does; each extra attempt spends one token.
class token_budget
{
  public:
    /// @param share the tokens added for each finished subquery
    /// @param burst the maximum number of tokens; half of it is available initially
    token_budget(double share, double burst) noexcept : m_share(share), m_burst(burst), m_tokens(burst / 2)
    {
    }

    /// @brief Adds the tokens for one finished subquery.
    void earn() noexcept
    {
        m_tokens = std::min(m_burst, m_tokens + m_share);
    }

    /// @brief Spends one token.
    /// @return false if less than one token is available, in which case nothing is spent
    bool spend() noexcept
    {
        if (!can_spend())
        {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

    /// @brief Changes the maximum number of tokens and the tokens added per millisecond.
    void limit(double burst, double per_ms) noexcept
    {
        m_burst = burst;
        m_per_ms = per_ms;
        m_tokens = std::min(m_tokens, burst);
    }

    /// @brief Adds the tokens for the time since the last call.
    void advance(time_point now) noexcept
    {
        m_tokens = tokens_at(now);
        m_advanced_to = now;
    }

    /// @return the tokens that are available at @a then if none is spent or earned before
    double tokens_at(time_point then) const noexcept
    {
        return std::min(m_burst, m_tokens + std::max((then - m_advanced_to).ms(), 0.0) * m_per_ms);
    }

    /// @return the time at which a token is available if none is earned; time_point::never() if time adds no
    /// tokens
    time_point next_token_at() const noexcept
    {
        if (m_burst < 1.0 || (m_per_ms <= 0.0 && m_tokens < 1.0))
        {
            return time_point::never();
        }
        return m_tokens >= 1.0 ? m_advanced_to
                               : m_advanced_to + duration::from_ms((1.0 - m_tokens) / m_per_ms);
    }

    /// @return whether a token is available
    bool can_spend() const noexcept
    {
        return m_tokens >= 1.0;
    }

    /// @return the tokens available, as of the last call of @ref advance
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
