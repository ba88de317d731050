#pragma once

#include <memory>

namespace flaxtiller
{

namespace detail
{
/// @brief An RCU read-side critical section of the current thread, for the lifetime of the object.
class rcu_read_section
{
  public:
    rcu_read_section() noexcept;
    ~rcu_read_section();
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
};

/// @return the pointer in @a slot, which may be dereferenced inside the read section
void* rcu_load(void* const* slot) noexcept;
/// @brief Stores @a next in @a slot and waits until no reader can still use the previous pointer.
/// @return the previous pointer
void* rcu_replace(void** slot, void* next) noexcept;
} // namespace detail

/// @brief A cell with an immutable value that several threads read without a lock and one thread at a time
/// replaces.
///
/// The cell uses read-copy-update by liburcu: @ref load is wait-free, and @ref store waits for the readers.
/// The class exists because `std::atomic<std::shared_ptr>` is not lock-free in libstdc++ 12.
template <typename Value>
class rcu_cell
{
  public:
    using pointer = std::shared_ptr<const Value>;

    explicit rcu_cell(pointer initial) : m_slot(new pointer(std::move(initial)))
    {
    }

    ~rcu_cell()
    {
        delete static_cast<pointer*>(m_slot);
    }

    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;

    /// @return the current value, which remains valid as long as the caller holds the pointer
    pointer load() const
    {
        const detail::rcu_read_section section;
        return *static_cast<const pointer*>(detail::rcu_load(&m_slot));
    }

    /// @brief Replaces the value. Two threads must not call this function at the same time.
    void store(pointer next)
    {
        delete static_cast<pointer*>(detail::rcu_replace(&m_slot, new pointer(std::move(next))));
    }

  private:
    void* m_slot;
};

} // namespace flaxtiller
