#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <system_error>

namespace flaxtiller
{

/// @brief The most memory in bytes that a process needs for a JSON document, by what the document's text
/// holds.
struct document_cost
{
    /// For each byte of the text.
    std::size_t text_byte = 2;
    /// For each key, and for each value of any kind.
    std::size_t value = 96;
    /// For each array and each object, beside what it costs as a value.
    std::size_t container = 64;
    /// For each item of a list that stands under the key @ref item_key, beside what it costs as a value.
    std::size_t item = 0;
    std::string_view item_key{};

    bool operator==(const document_cost&) const = default;
};

/// @brief The limits on a JSON document from outside.
struct document_bounds
{
    /// The maximum number of arrays and objects that stand in one another. Copies and dumps of a document
    /// recurse, so that the depth takes stack.
    std::size_t depth = 32;
    /// The maximum size of a key and of a string, in bytes.
    std::size_t text_bytes = std::numeric_limits<std::size_t>::max();
    /// The memory for the document, in bytes.
    std::size_t memory_bytes = std::size_t{1} << 20U;
    /// What the memory is used for: by default, for the decoded document.
    document_cost cost;

    bool operator==(const document_bounds&) const = default;
};

/// @brief Decides whether a JSON document may be decoded, without building anything of it.
/// @param text the document
/// @param bounds the limits
/// @return no error, @ref errc::document_malformed, @ref errc::document_too_deep, @ref errc::text_too_long or
/// @ref errc::document_too_large; of several, the one that is found first
/// @complexity O(size of @a text); the memory is a bit for each level of nesting and the longest string
std::error_code check_document(const std::string& text, const document_bounds& bounds);

/// @brief Decodes a JSON document that fulfils the limits.
/// @param text the document
/// @param bounds the limits
/// @param failed receives the result of @ref check_document
/// @return the document; discarded if it isn't decoded
nlohmann::json parse_document(const std::string& text, const document_bounds& bounds,
                              std::error_code& failed);

} // namespace flaxtiller
