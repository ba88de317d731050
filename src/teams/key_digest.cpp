#include <flaxtiller/teams/key_digest.hpp>

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <cstring>

namespace flaxtiller
{

namespace
{

template <typename Bytes>
std::string to_hex(const Bytes& bytes)
{
    std::string text(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

} // namespace

key_digest::key_digest(std::string_view secret, std::string_view key)
{
    static_assert(size >= crypto_generichash_BYTES_MIN && size <= crypto_generichash_BYTES_MAX);
    const std::size_t secret_size = std::min<std::size_t>(secret.size(), crypto_generichash_KEYBYTES_MAX);
    crypto_generichash(m_bytes.data(), m_bytes.size(), reinterpret_cast<const unsigned char*>(key.data()),
                       key.size(), reinterpret_cast<const unsigned char*>(secret.data()), secret_size);
}

bool key_digest::operator==(const key_digest& other) const noexcept
{
    return sodium_memcmp(m_bytes.data(), other.m_bytes.data(), size) == 0;
}

std::string key_digest::str() const
{
    return to_hex(m_bytes);
}

bool key_digest::parse(const std::string& text, key_digest& output)
{
    std::array<unsigned char, size> bytes{};
    std::size_t read = 0;
    const int failed =
        sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &read, nullptr);
    if (failed != 0 || read != size || text.size() != 2 * size)
    {
        return false;
    }
    output.m_bytes = bytes;
    return true;
}

std::size_t key_digest::hash() const noexcept
{
    std::size_t bits = 0;
    std::memcpy(&bits, m_bytes.data(), sizeof bits);
    return bits;
}

std::string generate_key_secret()
{
    std::array<unsigned char, crypto_generichash_KEYBYTES> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return to_hex(bytes);
}

void to_json(nlohmann::json& j, const key_digest& value)
{
    j = value.str();
}

} // namespace flaxtiller
