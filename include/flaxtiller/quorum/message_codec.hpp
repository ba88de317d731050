#pragma once

#include <flaxtiller/quorum/hard_state.hpp>
#include <flaxtiller/quorum/message.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flaxtiller::quorum
{

// Conversions to and from CBOR. Commands and snapshots are encoded as byte strings. The from_json functions
// throw nlohmann::json::exception on malformed input.

void to_json(nlohmann::json& j, const member_set& value);
void from_json(const nlohmann::json& j, member_set& value);
void to_json(nlohmann::json& j, const log_entry& value);
void from_json(const nlohmann::json& j, log_entry& value);
void to_json(nlohmann::json& j, const snapshot& value);
void from_json(const nlohmann::json& j, snapshot& value);
void to_json(nlohmann::json& j, const hard_state& value);
void from_json(const nlohmann::json& j, hard_state& value);
void to_json(nlohmann::json& j, const message& value);
void from_json(const nlohmann::json& j, message& value);

/// @return @a value as CBOR bytes
template <typename Value>
std::string to_bytes(const Value& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(value), bytes);
    return bytes;
}

/// @return the value that the CBOR @a bytes encode
/// @throw nlohmann::json::exception if @a bytes are malformed
template <typename Value>
Value from_bytes(const std::string& bytes)
{
    return nlohmann::json::from_cbor(bytes).get<Value>();
}

} // namespace flaxtiller::quorum
