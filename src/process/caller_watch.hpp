#pragma once

#include "heap_release.hpp"

#include "http/http_server.hpp"

#include <flaxtiller/core/duration.hpp>

#include <cstddef>

namespace flaxtiller::shell
{

/// How often @ref caller_watch::check is to be called.
inline constexpr duration caller_watch_interval = duration::from_ms(1000);

/// @brief Logs when connections of callers give way to others, and gives the memory of their messages back.
class caller_watch
{
  public:
    /// @param memory_bytes what the process may use
    explicit caller_watch(std::size_t memory_bytes) noexcept;

    /// @brief Called once a second.
    /// @param server the server that callers connect to
    void check(const http_server& server);

  private:
    http_server::pressure m_last;
    heap_release m_release;
};

} // namespace flaxtiller::shell
