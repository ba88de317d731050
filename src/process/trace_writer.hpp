#pragma once

#include <flaxtiller/coordinator/action.hpp>
#include <flaxtiller/coordinator/event.hpp>
#include <flaxtiller/coordinator/service_coordinator.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace flaxtiller::shell
{

/// @brief Records the events into the decisions, and the answers that came out, one JSON object a line.
class trace_writer
{
  public:
    /// @param path the file; empty to record nothing
    explicit trace_writer(const std::string& path);

    /// @return whether anything is recorded
    bool is_open() const noexcept;

    /// @brief Records with what a coordinator begins.
    void begin(const service_name& service, const instance_name& self, std::uint64_t first_serial);

    /// @brief Records an event.
    void event(const service_name& service, const coordinator_event& happened, time_point now);

    /// @brief Records an answer to a caller.
    void answer(const service_name& service, const answer_caller& told, time_point now);

  private:
    void line(const std::string& text);

    std::ofstream m_file;
    std::mutex m_mutex;
};

} // namespace flaxtiller::shell
