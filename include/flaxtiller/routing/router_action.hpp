#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/region_set.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quarantine/crash_ledger.hpp>
#include <flaxtiller/routing/routed_outcome.hpp>
#include <flaxtiller/routing/routed_request.hpp>

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace flaxtiller
{

/// @brief Identity of a request within one entry instance.
using request_number = std::uint64_t;

/// @brief Identity of an attempt on a backend server within one entry instance.
using routed_attempt_number = std::uint64_t;

/// @brief Send the request to this backend server.
struct start_routed_attempt
{
    routed_attempt_number attempt = 0;
    request_number request = 0;
    backend_server_name server;
    service_name service;
    /// Whether only a success counts, as for a part of a fan-out.
    bool part = false;
    /// 1 for the first attempt on the service for this request.
    int ordinal = 1;
    bool repeatable = true;
    /// Whether it finds out if the request crashes backend servers; see @ref crash_ledger.
    bool on_trial = false;
    time_point deadline;
    std::shared_ptr<const routed_request> sent;
};

/// @brief Stop this attempt; its end is reported as `cancelled`.
struct cancel_routed_attempt
{
    routed_attempt_number attempt = 0;
};

/// @brief Give the caller its final answer.
struct answer_request
{
    request_number request = 0;
    routed_outcome outcome;
};

/// @brief Identity of what this instance asks of another entry.
using delegation_number = std::uint64_t;

/// @brief Let another entry run some shards of a fan-out; it answers by @ref router::entry_answered.
struct delegate_shards
{
    delegation_number number = 0;
    instance_name peer;
    /// The identity of the list of shards that the positions count in.
    std::uint64_t list = 0;
    std::vector<std::size_t> shards;
    std::vector<backend_server_name> designated;
    duration patience{};
    /// When it shall answer with what is in.
    duration answer_within{};
    /// When it shall tell what is in so far; its silence then means that it failed.
    duration progress_within{};
    /// Whether another entry may have run it already.
    bool again = false;
    /// Where the request may run; the asked entry stands in one of them.
    region_set regions;
    std::shared_ptr<const routed_request> sent;
};

/// @brief Tell the entry that asked what is in so far; the final answer follows.
struct send_partial_outcome
{
    request_number request = 0;
    routed_outcome outcome;
};

/// @brief Tell that entry that nobody waits for it any more.
struct abandon_delegation
{
    delegation_number number = 0;
    instance_name peer;
    /// Whether what runs is stopped, too, as its caller has gone; else it ends by itself.
    bool stops = false;
};

/// @brief Tell the control replicas what changed of requests that crash backend servers.
struct publish_crash_records
{
    std::vector<crash_record> records;
};

/// @brief Whether a request is held back, or no longer; for logs and metrics.
struct report_quarantine_state
{
    request_fingerprint request;
    crash_ledger::quarantine_state quarantine_state = crash_ledger::quarantine_state::clear;
    crash_record record;
    /// Requests of this and other kinds that are held back here now.
    std::size_t held = 0;
};

using router_action =
    std::variant<start_routed_attempt, cancel_routed_attempt, answer_request, delegate_shards, abandon_delegation,
                 send_partial_outcome, publish_crash_records, report_quarantine_state>;

} // namespace flaxtiller
