#pragma once

#include <flaxtiller/quorum/posix_file_system.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
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
/// With the saved registrations of present backend servers, requests can be routed after a restart without
/// waiting for their next heartbeats. These are only a hint, which may be outdated, and nothing waits for
/// them. What is gone is saved as well, so that a late heartbeat doesn't bring it back after a restart; a
/// deregistration is confirmed only once it is on disk, see @ref deregistration_confirmations.
///
/// Each line of the file is a registration as JSON. The last line for an id is the valid one, and a truncated
/// or malformed line is skipped. A separate thread writes and syncs the lines, since a disk may hang for
/// seconds.
class registration_file
{
  public:
    /// Called by the writing thread after each write that succeeded.
    using saved_function = std::function<void()>;

    explicit registration_file(std::string path, saved_function on_saved = {});
    ~registration_file();
    registration_file(const registration_file&) = delete;
    registration_file& operator=(const registration_file&) = delete;

    /// What is gone is left out when it was saved longer ago than this. The time of day may be set forward or
    /// back, so this is far longer than registry::gone_retention, which counts from the start of a process
    /// again.
    static constexpr std::int64_t max_gone_age_ms = 600000;

    /// @brief Reads the registrations that a previous run of this process saved. Call before the first @ref
    /// append.
    /// @param unix_ms the time of day
    /// @return the last registration of each backend server, without the lines that can't be read
    std::vector<registration> load(std::int64_t unix_ms);

    /// @brief Queues changed registrations to be appended to the file. If the last write failed, it is tried
    /// again, also without changes. Thread-safe.
    /// @param unix_ms the time of day
    /// @return the number of all changes that were ever queued; they are on disk once @ref saved has reached
    /// it
    std::uint64_t append(const std::vector<registration>& changes, std::int64_t unix_ms);

    /// @return how many of the queued changes, in their order, are on disk. Thread-safe.
    std::uint64_t saved() const;

    /// @brief Leaves out these ids, unless they are present, when the file is replaced next. Thread-safe.
    void forget(const std::vector<backend_server_name>& ids);

    /// @brief Waits until all queued writes have succeeded or failed. Thread-safe.
    void flush();

  private:
    /// A file with more lines, and more than twice the valid ones, is replaced by a file with the valid lines
    /// only. A line takes some hundred bytes.
    static constexpr std::size_t max_lines = 20000;

    /// A registration, with the time of day at which it was gone; 0 if it is present.
    struct saved_registration
    {
        registration item;
        std::int64_t unix_ms = 0;
    };

    void run();
    std::string take_over(const std::vector<saved_registration>& changes,
                          const std::vector<backend_server_name>& forgotten);
    bool must_be_replaced() const;
    std::string valid_lines() const;
    std::error_code write(const std::string& lines, bool replace);
    static std::string line_of(const saved_registration& saved);

    const std::string m_path;
    const saved_function m_on_saved;
    quorum::posix_file_system m_files;
    mutable std::mutex m_mutex;
    std::condition_variable m_work_available;
    std::condition_variable m_write_finished;
    std::vector<saved_registration> m_queued;
    std::vector<backend_server_name> m_forgotten;
    std::uint64_t m_queued_count = 0;
    std::uint64_t m_saved_count = 0;
    bool m_writing = false;
    bool m_last_write_failed = false;
    bool m_retries = false;
    bool m_stopping = false;
    // The members below are used by the writing thread only, once it has started.
    std::map<backend_server_name, saved_registration> m_valid;
    std::size_t m_lines = 0;
    std::error_code m_failed;
    std::thread m_thread;
};

} // namespace flaxtiller::shell
