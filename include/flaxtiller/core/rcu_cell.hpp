#pragma once

#include <memory>

namespace flaxtiller
{

namespace detail
{
/// @brief Marks this thread as a reader of RCU-protected data for the life of the object.
class rcu_read_section
{
  public:
    rcu_read_section() noexcept;
    ~rcu_read_section();
    rcu_read_section(const rcu_read_section&) = delete;
    rcu_read_section& operator=(const rcu_read_section&) = delete;
};

/// @return the pointer at @a slot, safe to follow inside a read section
void* rcu_load(void* const* slot) noexcept;
/// @brief Puts @a next into @a slot and waits until no reader can still see the old pointer, which is
/// returned.
void* rcu_replace(void** slot, void* next) noexcept;
} // namespace detail

/// @brief Holds one immutable value that many threads read without a lock and one thread at a time replaces.
///
/// Read-copy-update by liburcu: `load` is wait-free; `store` waits for readers.
/// `std::atomic<std::shared_ptr>` isn't lock-free in libstdc++ 12, hence this type.
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

    /// @return the present value; it stays alive as long as the caller holds it
    pointer load() const
    {
        const detail::rcu_read_section section;
        return *static_cast<const pointer*>(detail::rcu_load(&m_slot));
    }

    /// @brief Replaces the value. Callers must not store from two threads at once.
    void store(pointer next)
    {
        delete static_cast<pointer*>(detail::rcu_replace(&m_slot, new pointer(std::move(next))));
    }

  private:
    void* m_slot;
};

} // namespace flaxtiller
