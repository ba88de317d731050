#pragma once

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace flaxtiller
{

/// @brief The form in which instances store the key of a caller: a keyed digest (BLAKE2b), from which the key
/// can't be recovered.
class key_digest
{
  public:
    static constexpr std::size_t size = 16;

    key_digest() = default;

    /// @param secret a secret from @ref generate_key_secret that all instances share
    /// @param key the key as the caller sent it
    key_digest(std::string_view secret, std::string_view key);

    /// @brief Compares in constant time, so that the duration reveals nothing about a digest.
    bool operator==(const key_digest& other) const noexcept;

    /// @return the bytes in hexadecimal
    std::string str() const;

    /// @brief Parses the output of @ref str.
    /// @return false for any other text, which leaves @a output unchanged
    static bool parse(const std::string& text, key_digest& output);

    /// @return a part of the digest as a hash for hash tables
    std::size_t hash() const noexcept;

  private:
    std::array<unsigned char, size> m_bytes{};
};

/// @return a new secret for @ref key_digest from the random number generator of the system
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
