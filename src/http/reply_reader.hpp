#pragma once

#include "http_exchange.hpp"
#include "message_memory.hpp"
#include "reply_fault.hpp"

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace flaxtiller::shell
{

/// @brief An incremental parser for the HTTP/1.1 replies of one connection. It neither reads from a socket
/// nor knows the time.
///
/// It alone decides whether bytes are a reply. Interim heads (statuses from 100, but not 101) before a reply
/// are discarded, and so are the fields of a trailer.
///
/// For each reply, call @ref begin, then repeatedly read bytes into @ref space and report them with
/// @ref arrived, until the state is no longer `needs_more`.
class reply_reader
{
  public:
    enum class state
    {
        needs_more,
        complete,
        /// The bytes aren't an HTTP reply; @ref fault states the reason.
        malformed,
    };

    /// @param memory the memory that the replies are accounted to
    explicit reply_reader(message_memory& memory = message_memory::of_replies());
    ~reply_reader();
    reply_reader(const reply_reader&) = delete;
    reply_reader& operator=(const reply_reader&) = delete;

    /// @brief Starts the next reply and discards bytes that arrived earlier.
    /// @param single_fields the names of fields that a reply may have once only, since they identify it: of
    ///        the request's id and of the signature; they must outlive the reply
    void begin(std::vector<std::string_view> single_fields = {});

    /// @return the buffer into which the next bytes are to be read
    boost::asio::mutable_buffer space();

    /// @brief Parses the bytes that were read into @ref space.
    /// @param bytes the number of these bytes
    /// @complexity linear in the number of bytes; a line that isn't complete yet is kept and parsed again
    state arrived(std::size_t bytes);

    /// @brief Reports that the peer closed the connection, which completes a reply without a length.
    /// @return `malformed` without a fault if the reply isn't complete
    state ended();

    /// @return why the reply is malformed
    reply_fault fault() const noexcept;

    /// @brief Moves the complete reply into @a into.
    void take(http_exchange_result& into);

    /// @return whether the connection may carry another request: the peer keeps it open, and no bytes follow
    /// the reply
    bool is_reusable() const;

  private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
