#pragma once

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace flaxtiller
{

/// @brief A map with copy-on-write semantics: copies share their items until one of them is modified.
///
/// Consecutive versions of a large document share the maps that a change does not modify, and shared maps
/// compare equal in constant time. Without sharing, an instance with 225 services spent 1.2 ms on a change of
/// one route, two fifths of it on copies of unchanged items.
///
/// The read operations are those of a @c std::map. As with a @c std::map, several threads may read
/// concurrently while no thread modifies the map.
template <typename Key, typename Value>
class shared_map
{
  public:
    using map_type = std::map<Key, Value>;
    using key_type = Key;
    using mapped_type = Value;
    using value_type = typename map_type::value_type;
    using const_iterator = typename map_type::const_iterator;

    shared_map() : m_items(std::make_shared<map_type>())
    {
    }

    // NOLINTNEXTLINE(google-explicit-constructor): a std::map converts implicitly to a shared map
    shared_map(map_type items) : m_items(std::make_shared<map_type>(std::move(items)))
    {
    }

    // Moving copies the pointer, so that m_items of a moved-from map is never null.
    shared_map(const shared_map&) = default;
    shared_map& operator=(const shared_map&) = default;
    ~shared_map() = default;

    // NOLINTNEXTLINE(google-explicit-constructor): a shared map converts implicitly to a std::map
    operator const map_type&() const noexcept
    {
        return *m_items;
    }

    // ------------------------------------------------------------------ read access

    const_iterator begin() const noexcept
    {
        return m_items->begin();
    }

    const_iterator end() const noexcept
    {
        return m_items->end();
    }

    std::size_t size() const noexcept
    {
        return m_items->size();
    }

    bool empty() const noexcept
    {
        return m_items->empty();
    }

    const_iterator find(const Key& key) const
    {
        return m_items->find(key);
    }

    std::size_t count(const Key& key) const
    {
        return m_items->count(key);
    }

    /// @throw std::out_of_range if the key does not exist
    const Value& at(const Key& key) const
    {
        return m_items->at(key);
    }

    /// @return whether both maps share their items, because neither was modified since one was copied from
    /// the other
    /// @complexity O(1)
    bool is_shared_with(const shared_map& other) const noexcept
    {
        return m_items == other.m_items;
    }

    bool operator==(const shared_map& other) const
    {
        return is_shared_with(other) || *m_items == *other.m_items;
    }

    // ------------------------------------------------------------------ modifiers; O(size) if shared

    /// @throw std::out_of_range if the key does not exist
    Value& at(const Key& key)
    {
        return detach().at(key);
    }

    Value& operator[](const Key& key)
    {
        return detach()[key];
    }

    template <typename... Arguments>
    void emplace(Arguments&&... arguments)
    {
        detach().emplace(std::forward<Arguments>(arguments)...);
    }

    template <typename Item>
    void insert_or_assign(const Key& key, Item&& value)
    {
        detach().insert_or_assign(key, std::forward<Item>(value));
    }

    /// @return the number of removed items
    std::size_t erase(const Key& key)
    {
        return detach().erase(key);
    }

    void clear()
    {
        m_items = std::make_shared<map_type>();
    }

  private:
    /// Returns the items for modification and copies them first if they are shared.
    map_type& detach()
    {
        if (m_items.use_count() > 1)
        {
            m_items = std::make_shared<map_type>(*m_items);
        }
        // Another thread may have just released the last other copy. The fence orders its reads before these
        // writes.
        std::atomic_thread_fence(std::memory_order_acquire);
        return *m_items;
    }

    std::shared_ptr<map_type> m_items;
};

} // namespace flaxtiller
