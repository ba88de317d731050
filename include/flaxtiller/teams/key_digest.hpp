#pragma once

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace flaxtiller
{

/// @brief A caller's key as instances keep it: a keyed digest (BLAKE2b), from which the key can't be read.
class key_digest
{
  public:
    static constexpr std::size_t size = 16;

    key_digest() = default;

    /// @param secret the same on all instances, as @ref draw_key_secret made it
    /// @param key as the caller shows it
    key_digest(std::string_view secret, std::string_view key);

    /// @brief Compares in constant time, so that how long it takes tells nothing of a digest.
    bool operator==(const key_digest& other) const noexcept;

    /// @return the bytes in hexadecimal
    std::string str() const;

    /// @brief Reads what @ref str wrote.
    /// @return false, and @a into is left as it is, for any other text
    static bool parse(const std::string& text, key_digest& output);

    /// @return some of its bits, for a hash table
    std::size_t hash() const noexcept;

  private:
    std::array<unsigned char, size> m_bytes{};
};

/// @return a new secret for @ref key_digest, from the system's source of randomness
std::string generate_key_secret();

void to_json(nlohmann::json& j, const key_digest& value);

} // namespace flaxtiller

template <>
struct std::hash<flaxtiller::key_digest>
{
    std::size_t operator()(const flaxtiller::key_digest& value) const noexcept
    {
        return value.hash();
    }
};
