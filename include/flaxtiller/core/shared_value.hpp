#pragma once

#include <memory>
#include <utility>

namespace flaxtiller
{

/// @brief An immutable value that copies share, so that many snapshots can hold a large value.
///
/// Comparison is by value. Copies of the same object compare equal in constant time.
template <typename Value>
class shared_value
{
  public:
    /// @brief Holds a default-constructed value.
    shared_value() : m_value(std::make_shared<const Value>())
    {
    }

    // NOLINTNEXTLINE(google-explicit-constructor): a value converts implicitly to a shared value
    shared_value(Value value) : m_value(std::make_shared<const Value>(std::move(value)))
    {
    }

    const Value& operator*() const noexcept
    {
        return *m_value;
    }

    const Value* operator->() const noexcept
    {
        return m_value.get();
    }

    /// @return whether both share the same object
    /// @complexity O(1)
    bool is_shared_with(const shared_value& other) const noexcept
    {
        return m_value == other.m_value;
    }

    bool operator==(const shared_value& other) const
    {
        return is_shared_with(other) || *m_value == *other.m_value;
    }

  private:
    std::shared_ptr<const Value> m_value;
};

} // namespace flaxtiller
