#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <algorithm>

namespace flaxtiller
{

/// @brief A bucket that time fills with tokens, up to a most. What is spent beyond it is a debt that time
/// pays back.
class token_bucket
{
  public:
    /// @brief A bucket that holds nothing and gets nothing.
    token_bucket() = default;

    /// @param most the most tokens kept
    /// @param tokens at hand at @a now
    token_bucket(double per_s, double most, double tokens, time_point now) noexcept
        : m_per_s(per_s), m_most(most), m_tokens(std::min(tokens, most)), m_as_of(now)
    {
    }

    /// @brief Changes how many tokens come and how many are kept; those at hand stay, up to the new most.
    void limit(double per_s, double most, time_point now) noexcept
    {
        m_tokens = std::min(tokens(now), most);
        m_as_of = std::max(m_as_of, now);
        m_per_s = per_s;
        m_most = most;
    }

    /// @return the tokens at hand; negative while there is a debt
    double tokens(time_point now) const noexcept
    {
        constexpr double ms_per_s = 1000.0;
        return std::min(m_most, m_tokens + std::max((now - m_as_of).ms(), 0.0) * m_per_s / ms_per_s);
    }

    /// @brief Spends tokens, whether or not there are as many.
    /// @param most_debt a greater debt is forgiven
    void spend(double amount, double most_debt, time_point now) noexcept
    {
        m_tokens = std::max(tokens(now) - amount, -most_debt);
        m_as_of = std::max(m_as_of, now);
    }

    /// @brief Spends one token.
    /// @return false, and nothing is spent, if there is none
    bool take(time_point now) noexcept
    {
        if (tokens(now) < 1.0)
        {
            return false;
        }
        spend(1.0, 0.0, now);
        return true;
    }

    /// @return how long it takes until there are that many tokens; @a never if they don't come
    duration until(double wanted, time_point now, duration never) const noexcept
    {
        constexpr double ms_per_s = 1000.0;
        const double missing = wanted - tokens(now);
        if (missing <= 0.0)
        {
            return {};
        }
        return m_per_s > 0.0 && wanted <= m_most ? duration::from_ms(missing / m_per_s * ms_per_s) : never;
    }

  private:
    double m_per_s = 0.0;
    double m_most = 0.0;
    double m_tokens = 0.0;
    time_point m_as_of{};
};

} // namespace flaxtiller
