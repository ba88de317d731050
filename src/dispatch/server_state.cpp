#include <flaxtiller/dispatch/server_state.hpp>

#include <utility>

namespace flaxtiller::dispatch
{

void server_state::begin_life()
{
    server_state fresh;
    fresh.definition = std::move(definition);
    fresh.life = life + 1;
    fresh.shards = std::move(shards);
    fresh.in_use = in_use;
    fresh.late_in_use = late_in_use;
    fresh.ahead = ahead;
    fresh.listed_leaving = listed_leaving;
    fresh.retired = retired;
    fresh.region = std::move(region);
    fresh.near = near;
    *this = std::move(fresh);
}

} // namespace flaxtiller::dispatch
