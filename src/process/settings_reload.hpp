#pragma once

#include "settings.hpp"

#include <flaxtiller/core/findings.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @brief Where a process reads its settings.
struct settings_source
{
    /// The file, as findings name it.
    std::string file;
    /// The settings in force, as JSON.
    std::string text;
    /// Reads the settings as JSON; what is wrong with the file is added to the findings. Called from one
    /// thread at a time.
    std::function<std::string(findings&)> read;
};

/// @brief Reads the settings at the start of a process.
/// @param read reads the file; kept to read it again
/// @param found receives what is wrong with the file
settings_source open_settings(std::string file, std::function<std::string(findings&)> read, findings& found);

/// @brief Decides what a process takes from its settings file when it reads it again: the addresses of
/// control replicas, and nothing else. The class is deterministic and reads no file itself.
class settings_reload
{
  public:
    /// @brief Parses the settings and returns the control replicas that they name. Must leave the list empty
    /// if it doesn't follow the file.
    using replicas_reader =
        std::function<std::vector<named_address>(const std::string& text, findings& found)>;

    /// @brief Why the file was read.
    enum class cause
    {
        /// SIGHUP: the outcome is always reported.
        signal,
        /// There is no contact to the control replicas: an outcome is reported once until the file changes.
        lost_contact,
    };

    /// @brief What comes of a reading.
    struct outcome
    {
        /// The control replicas that are named from now on; nothing if they are the same as before.
        std::optional<std::vector<named_address>> replicas;
        /// Whether the file can't be taken for @ref found; what is in force stays.
        bool is_refused = false;
        findings found;
        /// The top-level keys that differ from those in force and are ignored.
        std::vector<std::string> ignored;
        /// Whether the outcome is to be logged.
        bool is_reported = false;
    };

    /// @param text the settings in force, as JSON
    /// @param replicas the control replicas that they name
    settings_reload(std::string text, std::vector<named_address> replicas, replicas_reader read_replicas);

    /// @brief Processes what was read.
    /// @param text the file's settings; without meaning if @a found has errors
    /// @param found the findings of the reading
    outcome on_read(cause why, const std::string& text, findings found);

  private:
    std::string m_text_at_start;
    std::vector<named_address> m_replicas;
    replicas_reader m_read_replicas;
    /// The text and the findings of the last reading.
    std::string m_last_text;
    findings m_last_found;
};

/// @brief Logs the outcome of a reading of the settings, if it is to be reported.
void log_outcome(const settings_reload::outcome& result);

} // namespace flaxtiller::shell
