#include "resource_bounds.hpp"

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
/// A request is held up to three times while its attempt starts.
constexpr std::size_t lone_divisor = 5;

constexpr std::size_t small_request_bytes = 32 * kilobyte;
constexpr std::size_t small_reply_bytes = 256 * kilobyte;
constexpr std::size_t small_answer_bytes = 16 * kilobyte;
} // namespace

resource_bounds bounds_of(const process_limits& limits)
{
    const std::size_t memory = limits.memory_bytes();
    const std::size_t lone = memory / lone_divisor;
    resource_bounds bounds;
    bounds.requests = {memory / request_divisor, small_request_bytes, lone};
    bounds.replies = {memory / reply_divisor, small_reply_bytes, lone};
    bounds.answers = {memory / answer_divisor, small_answer_bytes, lone};
    return bounds;
}

void set_message_memory(const resource_bounds& bounds) noexcept
{
    message_memory::of_requests().set_bounds(bounds.requests);
    message_memory::of_replies().set_bounds(bounds.replies);
    message_memory::of_answers().set_bounds(bounds.answers);
}

} // namespace flaxtiller::shell
