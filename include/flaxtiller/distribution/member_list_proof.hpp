#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace flaxtiller::distribution
{

/// @brief Proves to the process that asked for the control replicas that a process of the same deployment
/// replied: an address may belong to a process of another deployment by now.
/// @param secret the secret of the deployment, see configuration::key_secret
/// @param number the number of the request
/// @param names the replied names
/// @return a keyed digest of number and names in hexadecimal; empty if @a secret is empty
std::string member_list_proof(const std::string& secret, std::uint64_t number,
                              const std::vector<std::string>& names);

/// @return whether @a proof is the one for these arguments; false if @a secret is empty
bool is_member_list_proved(const std::string& secret, std::uint64_t number,
                           const std::vector<std::string>& names, const std::string& proof);

} // namespace flaxtiller::distribution
