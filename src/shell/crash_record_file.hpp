#pragma once

#include <flaxtiller/quarantine/crash_record.hpp>
#include <flaxtiller/quorum/posix_file_system.hpp>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace flaxtiller::shell
{

/// @brief What a control process knew of requests that crash backend servers, kept for its next start: after
/// a loss of all power no other process knows.
///
/// One JSON document, replaced whole. It is written and synced by a thread of its own, since a disk may hang
/// for seconds; of several writes that wait, the last one counts. Thread-safe.
class crash_record_file
{
  public:
    explicit crash_record_file(std::string path);
    ~crash_record_file();
    crash_record_file(const crash_record_file&) = delete;
    crash_record_file& operator=(const crash_record_file&) = delete;

    /// @return what was saved last, with the ages as of now; nothing where it can't be read
    std::vector<crash_record> load(std::int64_t unix_ms);

    /// @brief Queues all that is known to be written.
    void save(const std::vector<crash_record>& records, std::int64_t unix_ms);

    /// @brief Waits until what was queued is written, or has failed.
    void flush();

  private:
    void run();

    const std::string m_path;
    quorum::posix_file_system m_files;
    std::mutex m_mutex;
    std::condition_variable m_work_available;
    std::condition_variable m_write_finished;
    std::optional<std::string> m_queued;
    bool m_writing = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace flaxtiller::shell
