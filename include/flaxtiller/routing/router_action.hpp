#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/region_set.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quarantine/crash_ledger.hpp>
#include <flaxtiller/routing/execution_rules.hpp>
#include <flaxtiller/routing/owner_shift.hpp>
#include <flaxtiller/routing/routed_outcome.hpp>
#include <flaxtiller/routing/routed_request.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace flaxtiller
{

/// @brief Identifies a request within one entry instance.
using request_number = std::uint64_t;

/// @brief Identifies an attempt on a backend server within one entry instance.
using routed_attempt_number = std::uint64_t;

/// @brief Action: send the request to this backend server.
struct start_routed_attempt
{
    routed_attempt_number attempt = 0;
    request_number request = 0;
    backend_server_name server;
    service_name service;
    /// Whether the attempt is for a part of a fan-out, so that only a successful answer is of use.
    bool part = false;
    /// The number of the attempt among those for this request and service, from 1.
    int ordinal = 1;
    bool repeatable = true;
    /// Whether this is a trial attempt that tests if the request crashes backend servers; see
    /// @ref crash_ledger.
    bool on_trial = false;
    time_point deadline;
    std::shared_ptr<const routed_request> sent;
};

/// @brief Action: cancel this attempt. The attempt's end is then reported as `cancelled`.
struct cancel_routed_attempt
{
    routed_attempt_number attempt = 0;
};

/// @brief Action: send the final answer to the caller or to the delegating entry.
struct answer_request
{
    request_number request = 0;
    routed_outcome outcome;
};

/// @brief Identifies a delegation (shards that this instance lets another entry run) within this instance.
using delegation_number = std::uint64_t;

/// @brief Action: delegate shards of a fan-out to another entry. The peer's outcomes are handed to
/// @ref router::on_delegation_outcome.
struct delegate_shards
{
    delegation_number number = 0;
    instance_name peer;
    /// The @ref list_id of the list that @ref shards are positions in.
    std::uint64_t list = 0;
    std::vector<std::size_t> shards;
    /// See @ref routed_request::designated.
    std::vector<backend_server_name> designated;
    /// The time left until this instance stops waiting.
    duration patience{};
    /// The time after which the peer sends a further partial outcome, which arrives before the objective
    /// passes.
    duration answer_within{};
    /// The time after which the peer sends its first partial outcome; without one the peer counts as failed.
    duration progress_within{};
    /// Whether another entry may have run these shards already.
    bool again = false;
    /// Set if the peer is the second owner of the group and was chosen by the delays of both.
    std::optional<owner_shift> shift{};
    /// The regions in which the request may run; the peer is in one of them.
    region_set regions;
    /// The rules by which this instance merges the answer.
    execution_rules rules;
    std::shared_ptr<const routed_request> sent;
};

/// @brief Action: send a partial outcome to the delegating entry; the final outcome follows.
struct send_partial_outcome
{
    request_number request = 0;
    routed_outcome outcome;
};

/// @brief Action: notify a peer that this instance no longer awaits the delegation's outcome.
struct abandon_delegation
{
    delegation_number number = 0;
    instance_name peer;
    /// Whether the peer also cancels running attempts, since the caller is gone; otherwise they run to their
    /// end.
    bool stops = false;
};

/// @brief Action: send changed crash records to the control replicas.
struct publish_crash_records
{
    std::vector<crash_record> records;
};

/// @brief Action: log and count that the quarantine state of a request changed.
struct report_quarantine_state
{
    request_fingerprint request;
    crash_ledger::quarantine_state quarantine_state = crash_ledger::quarantine_state::clear;
    crash_record record;
    /// The number of requests, with any fingerprint, that this instance holds back now.
    std::size_t held = 0;
};

using router_action =
    std::variant<start_routed_attempt, cancel_routed_attempt, answer_request, delegate_shards,
                 abandon_delegation, send_partial_outcome, publish_crash_records, report_quarantine_state>;

} // namespace flaxtiller
