#pragma once

#include <flaxtiller/core/error.hpp>

#include <string>

namespace flaxtiller
{

/// @brief How much a finding weighs: an error refuses the document, a warning is only reported.
enum class severity
{
    warning,
    error,
};

/// @brief One thing found wrong in a document, with its place.
struct finding
{
    severity weight = severity::error;
    errc code = errc::ok;
    /// JSON pointer, or `file:line` where the text itself can't be parsed.
    std::string place;
    std::string message;

    bool operator==(const finding&) const = default;
};

} // namespace flaxtiller
