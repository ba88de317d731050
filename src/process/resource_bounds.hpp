#pragma once

#include "http/message_memory.hpp"

#include <flaxtiller/core/bounded_document.hpp>

#include <cstddef>

namespace flaxtiller::shell
{

/// @brief What a process may use of its machine.
struct process_limits
{
    int memory_mb = 256;

    std::size_t memory_bytes() const noexcept
    {
        return static_cast<std::size_t>(memory_mb) << 20U;
    }

    /// The open files and sockets; 0 for the limit that the system gives the process.
    int descriptors = 0;

    bool operator==(const process_limits&) const = default;
};

/// @brief The bounds on what callers and peers may make a process hold.
struct resource_bounds
{
    /// Requests that are being received or answered.
    message_memory_bounds requests;
    /// Replies of peers that are being received.
    message_memory_bounds replies;
    /// Answers that callers haven't read yet.
    message_memory_bounds answers;
    /// The connections that callers may have open.
    std::size_t caller_connections = 0;
    /// The connections that may be open to each of the other servers of the process.
    std::size_t other_connections = 0;
    /// A configuration that an operator sends.
    document_bounds configuration;
    /// Any other JSON document from outside.
    document_bounds document;

    bool operator==(const resource_bounds&) const = default;
};

/// @return the bounds that follow from the limits
resource_bounds bounds_of(const process_limits& limits);

/// @brief Sets the memory that the connections of this process share.
void set_message_memory(const resource_bounds& bounds) noexcept;

} // namespace flaxtiller::shell
