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

/// @brief The file in which a control process keeps its crash records over a restart.
///
/// A crash record describes a request that crashes backend servers. Control replicas and entries exchange
/// these records, but if all processes lose power at the same time, this file is the only copy.
///
/// The file is one JSON document, which is replaced atomically. A separate thread writes and syncs it, since
/// a disk may hang for seconds. If several writes are queued, only the last one is made. Thread-safe.
class crash_record_file
{
  public:
    explicit crash_record_file(std::string path);
    ~crash_record_file();
    crash_record_file(const crash_record_file&) = delete;
    crash_record_file& operator=(const crash_record_file&) = delete;

    /// @param unix_ms the current time of day; the ages of the records are increased by the time since the
    /// save
    /// @return the records that were saved last; empty if the file is missing or malformed
    std::vector<crash_record> load(std::int64_t unix_ms);

    /// @brief Queues records to be written in place of all saved ones. Doesn't wait for the disk.
    /// @param unix_ms the current time of day
    void save(const std::vector<crash_record>& records, std::int64_t unix_ms);

    /// @brief Waits until the queued write has succeeded or failed.
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
