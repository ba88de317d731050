#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace flaxtiller::shell
{

/// @brief Writes log lines to standard output from a thread of its own, so that a slow reader holds up
/// nothing else. Thread-safe.
class log_writer
{
  public:
    /// Lines that wait beyond this many bytes are dropped.
    static constexpr std::size_t most_queued_bytes = std::size_t{1} << 20U;

    /// @return the process's only writer; its thread starts with the first line
    static log_writer& instance();

    /// @brief Queues a line, newline included.
    void write(std::string line);

    /// @brief Waits until all queued lines are written.
    void flush();

    std::uint64_t dropped() const noexcept;

    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

  private:
    log_writer() = default;
    ~log_writer();

    void run();

    std::mutex m_mutex;
    std::condition_variable m_more;
    std::condition_variable m_written;
    std::string m_queued;
    bool m_writing = false;
    bool m_stopping = false;
    std::atomic<std::uint64_t> m_dropped{0};
    std::uint64_t m_dropped_told = 0;
    std::thread m_thread;
};

} // namespace flaxtiller::shell
