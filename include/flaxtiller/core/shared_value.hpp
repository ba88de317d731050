#pragma once

#include <memory>
#include <utility>

namespace flaxtiller
{

/// @brief An immutable value that copies share, so that a large one can stand in many snapshots.
///
/// Compares by the value; two copies of one object are told equal without looking into it.
template <typename Value>
class shared_value
{
  public:
    /// @brief A default value.
    shared_value() : m_value(std::make_shared<const Value>())
    {
    }

    // NOLINTNEXTLINE(google-explicit-constructor): a value may stand wherever a shared one is wanted
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

    /// @return whether both are copies of one object, so that nothing changed between them
    /// @complexity O(1)
    bool is_same(const shared_value& other) const noexcept
    {
        return m_value == other.m_value;
    }

    bool operator==(const shared_value& other) const
    {
        return is_same(other) || *m_value == *other.m_value;
    }

  private:
    std::shared_ptr<const Value> m_value;
};

} // namespace flaxtiller
