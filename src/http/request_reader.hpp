#pragma once

#include "http_request.hpp"
#include "message_memory.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace flaxtiller::shell
{

/// @brief The limits on the size of one request.
struct request_size_limits
{
    /// The head; also a line between two chunks, and the trailer.
    std::size_t header_bytes = std::size_t{16} << 10U;
    std::size_t body_bytes = std::size_t{1} << 20U;

    bool operator==(const request_size_limits&) const = default;
};

/// @brief An incremental parser for the HTTP/1.1 requests of one connection. It neither reads from a socket
/// nor knows the time.
///
/// For each request, call @ref begin, then pass the bytes that arrive to @ref arrived until the state is no
/// longer `needs_more`. Bytes that follow a request are kept for the next one.
class request_reader
{
  public:
    enum class state
    {
        needs_more,
        complete,
        /// The bytes aren't an HTTP request.
        malformed,
        /// The head, the trailer or a line between two chunks exceeds its limit.
        header_too_large,
        body_too_large,
    };

    /// @param memory the memory that the requests are accounted to
    explicit request_reader(message_memory& memory);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;

    /// @brief Starts the next request with the bytes that arrived after the last one.
    state begin(const request_size_limits& limits);

    /// @brief Parses further bytes.
    /// @complexity linear in the number of bytes; a line that isn't complete yet is kept and parsed again
    state arrived(std::string_view bytes);

    /// @return the number of bytes to read next: what is missing of a body of known length, within a limit
    std::size_t wanted_bytes() const;

    /// @return whether a byte of the request has arrived
    bool has_started() const;

    /// @return whether the head is complete, so that @ref head has a meaning
    bool has_head() const;

    /// @return whether bytes have arrived that follow the request
    bool has_bytes_ahead() const;

    /// @return the memory that the request holds
    const message_memory::share& memory() const;

    /// @brief Accounts for the unread bytes of a connection that isn't read while its request is answered.
    /// @return whether they fit
    bool add_unread(std::size_t bytes);

    /// @return the request as far as its head, which must be complete
    http_request head() const;

    /// @brief Moves the complete request out. Its memory is accounted until @ref release.
    http_request take();

    /// @brief Gives the memory of the request back. Bytes that follow it are kept.
    void release();

    /// @brief Gives all memory back, and discards bytes that follow the request.
    void reset();

    /// @return whether the caller keeps the connection open after this request
    bool keeps_alive() const;

  private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
