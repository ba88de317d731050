#include "connection_table.hpp"

#include <algorithm>
#include <utility>

namespace flaxtiller::shell
{

// ---------------------------------------------------------------------------------------------------------
// one connection
// ---------------------------------------------------------------------------------------------------------

tracked_connection::tracked_connection(time_point now, std::function<void()> stop)
    : m_still_since_us(now.since_start().us()), m_stop(std::move(stop))
{
}

bool tracked_connection::enter(connection_phase next, time_point now)
{
    progressed(now);
    connection_phase before = m_phase.load();
    while (before != connection_phase::evicted)
    {
        if (m_phase.compare_exchange_weak(before, next))
        {
            return true;
        }
    }
    return false;
}

void tracked_connection::progressed(time_point now) noexcept
{
    m_still_since_us.store(now.since_start().us(), std::memory_order_relaxed);
}

void tracked_connection::set_held_bytes(std::size_t bytes) noexcept
{
    m_held_bytes.store(bytes, std::memory_order_relaxed);
}

bool tracked_connection::is_evicted() const noexcept
{
    return m_phase.load() == connection_phase::evicted;
}

bool tracked_connection::evict(connection_phase from)
{
    if (!m_phase.compare_exchange_strong(from, connection_phase::evicted))
    {
        return false;
    }
    m_stop();
    return true;
}

void tracked_connection::announce_release(message_memory& memory) noexcept
{
    m_leaving_bytes = m_held_bytes.load(std::memory_order_relaxed);
    memory.add_leaving(m_leaving_bytes);
    m_leaving_memory.store(&memory);
}

void tracked_connection::on_released() noexcept
{
    if (message_memory* memory = m_leaving_memory.exchange(nullptr))
    {
        memory->remove_leaving(m_leaving_bytes);
    }
}

connection_view tracked_connection::view() const noexcept
{
    const time_point still_since(duration::from_us(m_still_since_us.load(std::memory_order_relaxed)));
    return {m_phase.load(), still_since, m_held_bytes.load(std::memory_order_relaxed)};
}

// ---------------------------------------------------------------------------------------------------------
// all connections
// ---------------------------------------------------------------------------------------------------------

void connection_table::add(std::shared_ptr<tracked_connection> connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.push_back(std::move(connection));
    m_size.store(m_connections.size(), std::memory_order_relaxed);
}

void connection_table::remove(const std::shared_ptr<tracked_connection>& connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find(m_connections.begin(), m_connections.end(), connection);
    std::swap(*found, m_connections.back());
    m_connections.pop_back();
    m_size.store(m_connections.size(), std::memory_order_relaxed);
    connection->on_released();
}

std::vector<connection_view> connection_table::views() const
{
    std::vector<connection_view> views;
    views.reserve(m_connections.size());
    for (const auto& connection : m_connections)
    {
        views.push_back(connection->view());
    }
    return views;
}

bool connection_table::make_room_for_connection(time_point now)
{
    const std::lock_guard lock(m_mutex);
    const std::vector<connection_view> seen = views();
    const auto leaving = std::count_if(seen.begin(), seen.end(),
                                       [](const connection_view& item)
                                       {
                                           return item.phase == connection_phase::evicted;
                                       });
    if (leaving >= max_leaving)
    {
        return false;
    }
    const auto chosen = evict_for_descriptor(seen, now);
    const bool gives_way = chosen && m_connections[*chosen]->evict(seen[*chosen].phase);
    m_evicted += gives_way ? 1 : 0;
    return gives_way;
}

bool connection_table::make_room_for_message(const message_memory::share& wanted, connection_phase phase,
                                             time_point now)
{
    const std::lock_guard lock(m_mutex);
    message_memory& memory = wanted.memory();
    std::vector<connection_view> seen = views();
    while (!wanted.fits())
    {
        const auto chosen = evict_for_memory(seen, phase, memory.bounds().small_bytes, now);
        if (!chosen)
        {
            return false;
        }
        if (m_connections[*chosen]->evict(phase))
        {
            m_connections[*chosen]->announce_release(memory);
            ++m_evicted;
        }
        seen[*chosen].phase = connection_phase::evicted;
    }
    return true;
}

} // namespace flaxtiller::shell
