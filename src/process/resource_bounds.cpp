#include "resource_bounds.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace flaxtiller::shell
{

namespace
{

constexpr std::size_t kilobyte = 1024;

// Shares of the memory. What they leave is for the process itself.
constexpr std::size_t request_divisor = 6;
/// The buffer of a reply of unknown length may be twice its size.
constexpr std::size_t reply_divisor = 8;
constexpr std::size_t answer_divisor = 6;
constexpr std::size_t connection_divisor = 8;
/// A request is held up to three times while its attempt starts.
constexpr std::size_t lone_divisor = 5;

constexpr std::size_t configuration_divisor = 2;
constexpr std::size_t document_divisor = 10;
/// What a configuration takes of the process that needs most for it, while it is decoded, replicated,
/// checked, kept in two revisions, and followed by entries. A service has labels, a placement rule and a
/// scheduler.
constexpr document_cost configuration_cost = {12, 320, 512, 7 * kilobyte, "services"};

/// A host name has 253 bytes at most. The history keeps a number of items, whatever the size of their texts.
constexpr std::size_t configuration_text_bytes = 512;

constexpr std::size_t small_request_bytes = 32 * kilobyte;
constexpr std::size_t small_reply_bytes = 256 * kilobyte;
constexpr std::size_t small_answer_bytes = 16 * kilobyte;
/// A connection with its buffers, and a part of a small request.
constexpr std::size_t connection_bytes = 32 * kilobyte;

// Shares of the descriptors. What they leave is for links, backend servers and files.
constexpr std::size_t caller_descriptors_numerator = 3;
constexpr std::size_t caller_descriptors_divisor = 8;
constexpr std::size_t other_descriptors_divisor = 32;
constexpr std::size_t min_connections = 8;

constexpr std::size_t most_descriptors = std::size_t{1} << 20U;

std::size_t descriptors_of(const process_limits& limits)
{
    if (limits.descriptors > 0)
    {
        return static_cast<std::size_t>(limits.descriptors);
    }
    rlimit system{};
    if (::getrlimit(RLIMIT_NOFILE, &system) != 0)
    {
        return most_descriptors;
    }
    return std::min<std::size_t>(system.rlim_cur, most_descriptors);
}

} // namespace

resource_bounds bounds_of(const process_limits& limits)
{
    const std::size_t memory = limits.memory_bytes();
    const std::size_t descriptors = descriptors_of(limits);
    const std::size_t lone = memory / lone_divisor;
    resource_bounds bounds;
    bounds.requests = {memory / request_divisor, small_request_bytes, lone};
    bounds.replies = {memory / reply_divisor, small_reply_bytes, lone};
    bounds.answers = {memory / answer_divisor, small_answer_bytes, lone};
    const std::size_t by_descriptors =
        descriptors * caller_descriptors_numerator / caller_descriptors_divisor;
    const std::size_t by_memory = memory / connection_divisor / connection_bytes;
    bounds.caller_connections = std::max(min_connections, std::min(by_descriptors, by_memory));
    bounds.other_connections = std::max(min_connections, descriptors / other_descriptors_divisor);
    bounds.configuration.memory_bytes = memory / configuration_divisor;
    bounds.configuration.cost = configuration_cost;
    bounds.configuration.text_bytes = configuration_text_bytes;
    bounds.document.memory_bytes = memory / document_divisor;
    return bounds;
}

void set_message_memory(const resource_bounds& bounds) noexcept
{
    message_memory::of_requests().set_bounds(bounds.requests);
    message_memory::of_replies().set_bounds(bounds.replies);
    message_memory::of_answers().set_bounds(bounds.answers);
}

} // namespace flaxtiller::shell
