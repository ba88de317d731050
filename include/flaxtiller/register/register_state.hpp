#pragma once

#include <flaxtiller/register/register_command.hpp>
#include <flaxtiller/register/register_reply.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace flaxtiller
{

/// @brief The replicated register of requests that may not be repeated. Deterministic.
///
/// A key is granted to one asker. It is granted again only after that asker recorded that it was not run.
/// Keys are kept for @ref retention_ms after their own time, and a key that is older is refused, so that a
/// key that was forgotten can't be granted a second time.
class register_state
{
  public:
    static constexpr std::int64_t retention_ms = 24LL * 3600 * 1000;
    /// How far a key's time may lie ahead of the register's.
    static constexpr std::int64_t most_ahead_ms = 5LL * 60 * 1000;

    /// @brief Applies a committed command.
    register_reply apply(const register_command& command);

    /// @brief @ref apply for a command and a reply in CBOR; a malformed command has no effect.
    std::string apply_bytes(const std::string& command);

    /// @return the number of keys kept
    std::size_t size() const noexcept;

    std::string serialize() const;
    static register_state deserialize(const std::string& bytes);

    bool operator==(const register_state&) const = default;

  private:
    struct entry
    {
        std::uint64_t digest = 0;
        std::int64_t key_time_ms = 0;
        std::string asker;
        bool finished = false;
        enum outcome outcome = outcome::unknown;
        std::string answer;

        bool operator==(const entry&) const = default;
    };

    register_reply begin(const register_command& command);
    register_reply finish(const register_command& command);
    void forget_old();

    std::int64_t m_now_ms = 0;
    std::map<request_key, entry> m_entries;
    std::set<std::pair<std::int64_t, request_key>> m_by_time;
};

} // namespace flaxtiller
