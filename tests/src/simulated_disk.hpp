#pragma once

#include <flaxtiller/quorum/output.hpp>
#include <flaxtiller/quorum/persisted_state.hpp>

#include <vector>

namespace flaxtiller::test
{

/// @brief Writes what a replica wants to be stored to the state that its next run reads.
inline void write_to(quorum::persisted_state& disk, const quorum::output& actions)
{
    if (actions.hard)
    {
        disk.hard = *actions.hard;
    }
    if (actions.install)
    {
        disk.base = *actions.install;
        disk.entries.clear();
    }
    if (actions.truncate_from)
    {
        std::erase_if(disk.entries,
                      [&](const quorum::log_entry& entry)
                      {
                          return entry.index >= *actions.truncate_from;
                      });
    }
    disk.entries.insert(disk.entries.end(), actions.append.begin(), actions.append.end());
}

} // namespace flaxtiller::test
