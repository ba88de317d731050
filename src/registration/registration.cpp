#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <limits>

namespace flaxtiller
{

namespace
{

/// @return the order of precedence of states that are reported under one sequence
int precedence_of(registration_state state) noexcept
{
    switch (state)
    {
    case registration_state::lost:
        return 0;
    case registration_state::ready:
        return 1;
    case registration_state::draining:
        return 2;
    case registration_state::gone:
        break;
    }
    return 3;
}

/// The connection limit of a backend server whose service sets none.
constexpr int unlimited_connections = 1 << 16;

} // namespace

bool registration::supersedes(const registration& known) const noexcept
{
    if (born_ms != known.born_ms)
    {
        return born_ms > known.born_ms;
    }
    const bool is_final = state == registration_state::gone || known.state == registration_state::gone;
    if (!is_final && sequence != known.sequence)
    {
        return sequence > known.sequence;
    }
    return precedence_of(state) > precedence_of(known.state);
}

std::uint32_t registration::status_digest() const
{
    std::uint64_t digest = hash64(service.str(), static_cast<std::uint64_t>(born_ms));
    for (const std::string* text : {&address, &availability_zone, &software})
    {
        digest = hash64(*text, digest);
    }
    digest = hash64(std::to_string(slots), digest + static_cast<std::uint64_t>(state));
    return static_cast<std::uint32_t>(digest);
}

void to_json(nlohmann::json& j, const registration& value)
{
    j = {{"id", value.id},
         {"service", value.service},
         {"address", value.address},
         {"zone", value.availability_zone},
         {"software", value.software},
         {"slots", value.slots},
         {"state", value.state},
         {"warmup_ms", value.warmup_left.ms()},
         {"born_ms", value.born_ms},
         {"sequence", value.sequence}};
}

void from_json(const nlohmann::json& j, registration& value)
{
    value.id = j.at("id").get<backend_server_name>();
    value.service = j.at("service").get<service_name>();
    value.address = j.at("address").get<std::string>();
    value.availability_zone = j.at("zone").get<std::string>();
    value.software = j.at("software").get<std::string>();
    value.slots = j.at("slots").get<int>();
    value.state = j.at("state").get<registration_state>();
    value.warmup_left = duration::from_ms(j.at("warmup_ms").get<double>());
    // Absent from files that earlier versions wrote.
    value.born_ms = j.value("born_ms", std::int64_t{0});
    value.sequence = j.at("sequence").get<std::int64_t>();
}

backend_server to_backend_server(const registration& value, const service& declared)
{
    backend_server server;
    server.name = value.id;
    server.labels = {{"service", value.service.str()},
                     {"availability_zone", value.availability_zone},
                     {"software", value.software},
                     {"shard", "0"}};
    server.address = value.address;
    server.availability_zone = value.availability_zone;
    server.slots = value.slots;
    server.connection_limit =
        declared.connection_limit > 0 ? declared.connection_limit : unlimited_connections;
    server.leaving = !value.is_available();
    server.born_ms = value.born_ms;
    return server;
}

} // namespace flaxtiller
