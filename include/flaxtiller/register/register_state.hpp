#pragma once

#include <flaxtiller/register/register_command.hpp>
#include <flaxtiller/register/register_reply.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace flaxtiller
{

/// @brief The state of the replicated register, which ensures that a request that may not be repeated is run
/// at most once. Deterministic.
///
/// The caller identifies such a request by a key. The register grants a key to one requester, and grants it
/// again only after this requester has recorded that the request was not run. A key is kept until @ref
/// retention_ms after its creation time. An older key is refused, so that a removed key cannot be granted a
/// second time.
class register_state
{
  public:
    /// The time for which a key is kept after its creation.
    static constexpr std::int64_t retention_ms = 24LL * 3600 * 1000;
    /// The maximum time by which the creation time of a key may be ahead of the register's time.
    static constexpr std::int64_t max_ahead_ms = 5LL * 60 * 1000;

    /// @brief Applies a committed command.
    /// @return the reply to the requester
    register_reply apply(const register_command& command);

    /// @brief Applies a committed command that is encoded as CBOR. A malformed command has no effect.
    /// @return the reply, encoded as CBOR
    std::string apply_bytes(const std::string& command);

    /// @return the number of stored keys
    std::size_t size() const noexcept;

    /// @return the complete state, encoded as CBOR
    std::string serialize() const;

    /// @brief Restores a state from the result of @ref serialize.
    /// @throw nlohmann::json::exception if @a bytes are malformed
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
    void remove_expired();

    std::int64_t m_now_ms = 0;
    std::map<request_key, entry> m_entries;
    std::set<std::pair<std::int64_t, request_key>> m_by_time;
};

} // namespace flaxtiller
