#pragma once

#include <flaxtiller/quorum/posix_file_system.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

namespace flaxtiller::shell
{

/// @brief The file in which a control process keeps the registered backend servers over a restart.
///
/// With the saved registrations, requests can be routed after a restart without waiting for the next
/// heartbeats of the backend servers. The content is only a hint: it may be outdated, and no operation waits
/// for a write.
///
/// Each line of the file is a registration as JSON. The last line for an id is the valid one, and a truncated
/// or malformed line is skipped. A separate thread writes and syncs the lines, since a disk may hang for
/// seconds.
class registration_file
{
  public:
    explicit registration_file(std::string path);
    ~registration_file();
    registration_file(const registration_file&) = delete;
    registration_file& operator=(const registration_file&) = delete;

    /// @brief Reads the registrations that a previous run of this process saved. Call before the first @ref
    /// append.
    /// @return the last registration of each backend server, without the lines that can't be read
    std::vector<registration> load();

    /// @brief Queues changed registrations to be appended to the file. Thread-safe.
    void append(const std::vector<registration>& changes);

    /// @brief Waits until all queued writes have succeeded or failed. Thread-safe.
    void flush();

  private:
    /// A file with more lines is replaced by a file with the valid lines only. A line takes some hundred
    /// bytes.
    static constexpr std::size_t max_lines = 20000;

    void run();
    std::error_code write(const std::string& lines, bool replace);
    static std::string line_of(const registration& item);

    const std::string m_path;
    quorum::posix_file_system m_files;
    std::mutex m_mutex;
    std::condition_variable m_work_available;
    std::condition_variable m_write_finished;
    std::vector<registration> m_queued;
    bool m_writing = false;
    bool m_stopping = false;
    // The members below are used by the writing thread only, once it has started.
    std::map<backend_server_name, registration> m_valid;
    std::size_t m_lines = 0;
    std::error_code m_failed;
    std::thread m_thread;
};

} // namespace flaxtiller::shell
