#pragma once

namespace flaxtiller
{

/// @brief Switches for the decisions under load of a @ref router. Where one is false, the router decides as
/// if the feature did not exist; see docs/load.md.
struct load_options
{
    /// Whether waiting work is ordered by objective, priority and team rather than by deadline alone.
    bool orders_by_priority = false;
    /// Whether the load that backend servers report is a criterion for the choice between them.
    bool reads_server_load = false;
    /// Whether requests are refused at arrival if they are not expected to be served in time.
    bool limits_admission = false;
    /// Whether groups of shards are divided among their owners by the delays that these report.
    bool balances_owners = false;
    /// Whether callers that are refused together are given different times to return.
    bool spreads_returns = false;

    bool operator==(const load_options&) const = default;
};

} // namespace flaxtiller
