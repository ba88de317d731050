#pragma once

#include <flaxtiller/registration/registration.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller::test
{

/// @return the report of a heartbeat
inline registration report_of(const std::string& id, std::int64_t sequence,
                              registration_state state = registration_state::ready)
{
    registration report;
    report.id = backend_server_name(id);
    report.service = service_name("s");
    report.address = "10.0.0.1:80";
    report.state = state;
    report.sequence = sequence;
    return report;
}

} // namespace flaxtiller::test
