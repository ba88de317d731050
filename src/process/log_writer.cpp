#include "log_writer.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

/// Lines of this long share one write, so that a busy process isn't woken for each.
constexpr std::chrono::milliseconds gather{50};

} // namespace

log_writer& log_writer::instance()
{
    static log_writer only;
    return only;
}

log_writer::~log_writer()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_more.notify_all();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void log_writer::write(std::string line)
{
    const std::scoped_lock lock(m_mutex);
    if (m_queued.size() + line.size() > most_queued_bytes)
    {
        ++m_dropped;
        return;
    }
    const bool first = m_queued.empty();
    m_queued += line;
    if (!m_thread.joinable())
    {
        m_thread = std::thread(&log_writer::run, this);
    }
    if (first)
    {
        m_more.notify_one();
    }
}

void log_writer::flush()
{
    std::unique_lock lock(m_mutex);
    m_written.wait(lock,
                   [this]
                   {
                       return m_queued.empty() && !m_writing;
                   });
}

std::uint64_t log_writer::dropped() const noexcept
{
    return m_dropped.load(std::memory_order_relaxed);
}

void log_writer::run()
{
    std::unique_lock lock(m_mutex);
    while (true)
    {
        m_more.wait(lock,
                    [this]
                    {
                        return m_stopping || !m_queued.empty();
                    });
        if (!m_stopping)
        {
            m_more.wait_for(lock, gather,
                            [this]
                            {
                                return m_stopping;
                            });
        }
        std::string batch = std::exchange(m_queued, {});
        const std::uint64_t dropped = m_dropped.load(std::memory_order_relaxed);
        if (dropped > m_dropped_told)
        {
            batch += fmt::format("log_lines_dropped total={}\n", dropped);
            m_dropped_told = dropped;
        }
        m_writing = true;
        lock.unlock();
        std::fwrite(batch.data(), 1, batch.size(), stdout);
        std::fflush(stdout);
        lock.lock();
        m_writing = false;
        m_written.notify_all();
        if (m_stopping && m_queued.empty())
        {
            return;
        }
    }
}

} // namespace flaxtiller::shell
