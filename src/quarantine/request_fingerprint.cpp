#include <flaxtiller/quarantine/request_fingerprint.hpp>

#include <sodium.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace flaxtiller
{

namespace
{

constexpr std::size_t digest_bytes = 16;

/// Adds a string with its length, so that different lists of strings give different input.
void add(crypto_generichash_state& state, std::string_view text)
{
    const std::uint64_t size = text.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&size), sizeof size);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(text.data()), text.size());
}

} // namespace

request_fingerprint fingerprint_of(const routed_request& request)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, digest_bytes);
    for (const std::string_view text :
         {std::string_view(request.team.str()), std::string_view(request.method),
          std::string_view(request.host), std::string_view(request.target), std::string_view(request.body)})
    {
        add(state, text);
    }
    std::array<unsigned char, digest_bytes> digest{};
    crypto_generichash_final(&state, digest.data(), digest.size());
    std::string text(2 * digest_bytes + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return request_fingerprint(text);
}

} // namespace flaxtiller
