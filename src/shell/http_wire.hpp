#pragma once

#include "http_exchange.hpp"

#include <boost/asio/buffer.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace flaxtiller::shell
{

/// @return the request as it is sent, in HTTP/1.1
/// @complexity one allocation for most requests
std::string serialize_request(const http_exchange& request);

/// @brief Reads the replies of one connection, one after the other, from whatever pieces arrive.
class reply_reader
{
  public:
    enum class state
    {
        needs_more,
        complete,
        /// What came is no HTTP reply, or too much.
        malformed,
    };

    reply_reader();
    ~reply_reader();
    reply_reader(const reply_reader&) = delete;
    reply_reader& operator=(const reply_reader&) = delete;

    /// @brief The next reply begins; bytes that came before are none of it.
    void begin();

    /// @return where the next bytes go
    boost::asio::mutable_buffer space();

    /// @brief So many bytes arrived in @ref space.
    state arrived(std::size_t bytes);

    /// @brief The peer closed the connection: a reply without a length is whole by that.
    state ended();

    /// @brief Moves the reply that is whole into @a into.
    void take(http_exchange_result& into);

    /// @return whether the connection may carry another request: the peer keeps it, and no bytes are left
    /// over
    bool is_reusable() const;

  private:
    struct implementation;

    state read();

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
