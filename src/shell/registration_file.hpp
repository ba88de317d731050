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

/// @brief What a control process knew of registered backend servers, kept for its next start, so that callers
/// needn't wait for the next heartbeats. Only a hint: what is read may be old, and nothing waits for a write.
///
/// A file of lines, each a registration as JSON; the last line on an id counts, and one that was cut off is
/// passed over. Lines are written and synced by a thread of its own, since a disk may hang for seconds.
class registration_file
{
  public:
    explicit registration_file(std::string path);
    ~registration_file();
    registration_file(const registration_file&) = delete;
    registration_file& operator=(const registration_file&) = delete;

    /// @return what the last life of this process left, as far as it can be read
    std::vector<registration> load();

    /// @brief Queues changes to be written.
    void append(const std::vector<registration>& changes);

    /// @brief Waits until all that was queued is written, or has failed.
    void flush();

  private:
    /// Lines beyond this many are replaced by those that still count: some hundred bytes each.
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
    // The thread's own.
    std::map<backend_server_name, registration> m_valid;
    std::size_t m_lines = 0;
    std::error_code m_failed;
    std::thread m_thread;
};

} // namespace flaxtiller::shell
