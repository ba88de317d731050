#include "connection_eviction.hpp"

namespace flaxtiller::shell
{

namespace
{

/// The order in which connections give way to a new one; 0 for never.
int descriptor_rank(const connection_view& item, time_point now)
{
    switch (item.phase)
    {
    case connection_phase::closing:
        return 3;
    case connection_phase::idle:
    case connection_phase::reading:
        return 2;
    case connection_phase::writing:
        return now - item.still_since >= progress_timeout ? 1 : 0;
    case connection_phase::answering:
    case connection_phase::evicted:
        break;
    }
    return 0;
}

} // namespace

std::optional<std::size_t> evict_for_descriptor(const std::vector<connection_view>& connections,
                                                time_point now)
{
    std::optional<std::size_t> chosen;
    int chosen_rank = 0;
    for (std::size_t at = 0; at < connections.size(); ++at)
    {
        const int rank = descriptor_rank(connections[at], now);
        const bool is_older = chosen && connections[at].still_since < connections[*chosen].still_since;
        if (rank > chosen_rank || (rank > 0 && rank == chosen_rank && is_older))
        {
            chosen = at;
            chosen_rank = rank;
        }
    }
    return chosen;
}

std::optional<std::size_t> evict_for_memory(const std::vector<connection_view>& connections,
                                            connection_phase phase, std::size_t small_bytes, time_point now)
{
    std::optional<std::size_t> chosen;
    for (std::size_t at = 0; at < connections.size(); ++at)
    {
        const connection_view& item = connections[at];
        // A request that makes progress is served before one that has yet to arrive. An answer that isn't
        // read has no such claim on the memory of the next one.
        const bool stands_still =
            phase == connection_phase::writing || now - item.still_since >= progress_timeout;
        const bool gives_way = item.phase == phase && item.held_bytes > small_bytes && stands_still;
        if (gives_way && (!chosen || item.still_since < connections[*chosen].still_since))
        {
            chosen = at;
        }
    }
    return chosen;
}

} // namespace flaxtiller::shell
