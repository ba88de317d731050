#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace flaxtiller::shell
{

/// @brief When this entry last learned of a change of each backend server. The lines of attempts state how
/// old that knowledge is. Thread-safe.
class registration_times
{
  public:
    /// @brief Notes the time of changes; what is no longer present is left out.
    void on_changes(const std::vector<registration>& changes, time_point now);

    /// @return the time since the last change, or nothing if the backend server isn't registered
    std::optional<duration> age_of(const backend_server_name& server, time_point now) const;

  private:
    mutable std::mutex m_mutex;
    std::map<backend_server_name, time_point> m_changed_at;
};

} // namespace flaxtiller::shell
