#pragma once

#include <flaxtiller/core/error.hpp>

#include <string>

namespace flaxtiller
{

/// @brief The severity of a finding. A document with an error is refused; a warning is only reported.
enum class severity
{
    warning,
    error,
};

/// @brief A problem found in a document, with its location.
struct finding
{
    severity level = severity::error;
    errc code = errc::ok;
    /// The location as a JSON pointer, or as `file:line` if the document cannot be parsed.
    std::string place;
    std::string message;

    bool operator==(const finding&) const = default;
};

} // namespace flaxtiller
