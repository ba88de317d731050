#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace flaxtiller::shell
{

/// @brief What a server's connection waits for.
enum class connection_phase : std::uint8_t
{
    /// The first byte of a request.
    idle,
    /// The rest of a request.
    reading,
    /// The reply of the handler.
    answering,
    /// The caller, to read the reply.
    writing,
    /// The caller, to close the connection after a refusal.
    closing,
    /// The connection is being evicted.
    evicted,
};

/// @brief A server's connection at one moment.
struct connection_view
{
    connection_phase phase = connection_phase::idle;
    /// When the connection last made progress.
    time_point still_since;
    /// The memory that its messages hold, in bytes.
    std::size_t held_bytes = 0;

    auto operator<=>(const connection_view&) const = default;
};

/// A connection without progress for less than this time makes progress: its request isn't evicted for
/// memory, and its answer isn't evicted for another connection.
inline constexpr duration progress_timeout = duration::from_ms(250);

/// @brief Chooses the connection that gives way to a new one. Requests that are being answered never do.
/// @return its position; nothing if none may be closed
/// @complexity linear
std::optional<std::size_t> evict_for_descriptor(const std::vector<connection_view>& connections,
                                                time_point now);

/// @brief Chooses the connection that gives way if the memory for messages is used up: the one without
/// progress for the longest time that holds a message of more than @a small_bytes.
/// @param phase `reading` for the memory of requests, `writing` for that of replies
/// @return its position; nothing if all requests make progress, or there is no such message
/// @complexity linear
std::optional<std::size_t> evict_for_memory(const std::vector<connection_view>& connections,
                                            connection_phase phase, std::size_t small_bytes, time_point now);

} // namespace flaxtiller::shell
