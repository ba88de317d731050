#include <flaxtiller/dispatch/server_state.hpp>

#include <utility>

namespace flaxtiller::dispatch
{

void server_state::reset_for_new_run()
{
    server_state fresh;
    fresh.definition = std::move(definition);
    fresh.run_number = run_number + 1;
    fresh.shards = std::move(shards);
    fresh.in_use = in_use;
    fresh.overdue_in_use = overdue_in_use;
    fresh.pipelined_attempt = pipelined_attempt;
    fresh.listed_leaving = listed_leaving;
    fresh.retired = retired;
    fresh.region = std::move(region);
    fresh.in_own_region = in_own_region;
    *this = std::move(fresh);
}

} // namespace flaxtiller::dispatch
