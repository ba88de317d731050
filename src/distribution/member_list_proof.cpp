#include <flaxtiller/distribution/member_list_proof.hpp>

#include <flaxtiller/teams/key_digest.hpp>

namespace flaxtiller::distribution
{

namespace
{

key_digest digest_of(const std::string& secret, std::uint64_t number, const std::vector<std::string>& names)
{
    // Keys of callers are digested with the same secret; they contain no line break.
    std::string text = "control replicas\n" + std::to_string(number);
    for (const std::string& name : names)
    {
        text += '\n' + name;
    }
    return {secret, text};
}

} // namespace

std::string member_list_proof(const std::string& secret, std::uint64_t number,
                              const std::vector<std::string>& names)
{
    return secret.empty() ? std::string() : digest_of(secret, number, names).str();
}

bool is_member_list_proved(const std::string& secret, std::uint64_t number,
                           const std::vector<std::string>& names, const std::string& proof)
{
    key_digest stated;
    return !secret.empty() && key_digest::parse(proof, stated) && stated == digest_of(secret, number, names);
}

} // namespace flaxtiller::distribution
