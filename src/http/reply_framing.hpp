#pragma once

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace flaxtiller::shell
{

/// @brief Finds the end of a reply by Boost.Beast, from its first byte on, and collects the body.
///
/// The fields of the head are ignored, as @ref reply_head reads them; those of a trailer are discarded.
class reply_framing final : public boost::beast::http::basic_parser<false>
{
  public:
    std::string& body() noexcept
    {
        return m_body;
    }

    /// @return the first byte of the trailer's fields among the bytes that were parsed last; null if there is
    /// none
    const char* trailer_begin() const noexcept
    {
        return m_trailer_begin;
    }

  private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;

    void on_request_impl(verb, string_view, string_view, int, error_code&) override
    {
    }

    void on_response_impl(int, string_view, int, error_code&) override
    {
    }

    void on_field_impl(field, string_view name, string_view, error_code&) override
    {
        if (is_header_done() && m_trailer_begin == nullptr)
        {
            m_trailer_begin = name.data();
        }
    }

    void on_header_impl(error_code&) override
    {
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override
    {
        // The peer may state a length of which it sends nothing.
        constexpr std::uint64_t most_reserved_bytes = std::uint64_t{64} << 10U;
        m_body.reserve(static_cast<std::size_t>(std::min(length.value_or(0), most_reserved_bytes)));
    }

    std::size_t on_body_impl(string_view bytes, error_code&) override
    {
        m_body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code&) override
    {
        m_body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(error_code&) override
    {
    }

    std::string m_body;
    const char* m_trailer_begin = nullptr;
};

} // namespace flaxtiller::shell
