#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <algorithm>

namespace flaxtiller
{

/// @brief A token bucket that refills at a constant rate up to its capacity. The token count may be negative
/// after @ref spend; the refill then reduces this debt first.
class token_bucket
{
  public:
    /// @brief Creates an empty bucket that does not refill.
    token_bucket() = default;

    /// @param per_s the refill rate in tokens per second
    /// @param capacity the capacity
    /// @param tokens the available tokens at @a now
    /// @param now the current time
    token_bucket(double per_s, double capacity, double tokens, time_point now) noexcept
        : m_per_s(per_s), m_capacity(capacity), m_tokens(std::min(tokens, capacity)), m_updated_at(now)
    {
    }

    /// @brief Changes the refill rate and the capacity. The available tokens are kept, up to the new
    /// capacity.
    void limit(double per_s, double capacity, time_point now) noexcept
    {
        m_tokens = std::min(tokens(now), capacity);
        m_updated_at = std::max(m_updated_at, now);
        m_per_s = per_s;
        m_capacity = capacity;
    }

    /// @return the number of available tokens; negative while there is a debt
    double tokens(time_point now) const noexcept
    {
        constexpr double ms_per_s = 1000.0;
        return std::min(m_capacity, m_tokens + std::max((now - m_updated_at).ms(), 0.0) * m_per_s / ms_per_s);
    }

    /// @brief Spends tokens even if fewer are available.
    /// @param amount the number of tokens
    /// @param max_debt the maximum debt, at which the token count is clamped
    /// @param now the current time
    void spend(double amount, double max_debt, time_point now) noexcept
    {
        m_tokens = std::max(tokens(now) - amount, -max_debt);
        m_updated_at = std::max(m_updated_at, now);
    }

    /// @brief Spends one token if it is available.
    /// @return whether a token was spent
    bool take(time_point now) noexcept
    {
        if (tokens(now) < 1.0)
        {
            return false;
        }
        spend(1.0, 0.0, now);
        return true;
    }

    /// @param wanted the number of tokens
    /// @param now the current time
    /// @param never the result if the bucket never holds that many tokens
    /// @return the time until @a wanted tokens are available
    duration until(double wanted, time_point now, duration never) const noexcept
    {
        constexpr double ms_per_s = 1000.0;
        const double missing = wanted - tokens(now);
        if (missing <= 0.0)
        {
            return {};
        }
        return m_per_s > 0.0 && wanted <= m_capacity ? duration::from_ms(missing / m_per_s * ms_per_s)
                                                     : never;
    }

  private:
    double m_per_s = 0.0;
    double m_capacity = 0.0;
    double m_tokens = 0.0;
    time_point m_updated_at{};
};

} // namespace flaxtiller
