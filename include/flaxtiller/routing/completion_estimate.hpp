#pragma once

#include <flaxtiller/core/duration.hpp>

#include <cstddef>
#include <vector>

namespace flaxtiller
{

/// @brief Estimates the time in which enough shards of a request can answer. Unknown times count as zero, so
/// that an entry that knows nothing expects an answer at once.
class completion_estimate
{
  public:
    /// The factor between the median time that work takes and the time that most of the shards take. A
    /// fan-out is complete with its slowest required shard, which takes longer than the median.
    static constexpr double run_spread = 1.5;

    /// @brief How a request's expected completion compares with its times.
    enum class timeliness
    {
        /// Within the objective, or as early as without any wait.
        on_time,
        /// After the objective, because of waits.
        late,
        /// After the deadline, because of waits.
        too_late,
    };

    /// @brief The expected times of the shards that are required last.
    struct result
    {
        /// The wait until the work begins; zero if enough shards have a free slot.
        duration wait{};
        /// The time to completion without waits, and with them.
        duration run{};
        duration time{};

        bool operator==(const result&) const = default;
    };

    /// @brief Adds shards that run on this instance or are delegated together.
    /// @param shards the number of shards
    /// @param wait the time that they wait for a slot, or the delay that their owner reported
    /// @param median_run the median time that their work takes, including the transfer
    void add(std::size_t shards, duration wait, duration median_run);

    /// @param least_share the share of the shards that an answer must cover
    /// @param own_delay the time by which this process is late in handling what is due
    /// @return the time in which enough of the added shards can answer
    /// @complexity O(n log(n)) for n added items
    result completion(double least_share, duration own_delay) const;

    /// @brief Compares an estimate with the times left until the objective and until the deadline.
    ///
    /// A time that is missed even without waits does not count: the request is then no later than any other
    /// one of its kind, and the estimate may be wrong. In particular, a request for which enough slots are
    /// free is never late.
    static timeliness compare(const result& expected, duration objective, duration deadline);

  private:
    struct shard_times
    {
        std::size_t shards = 0;
        duration wait{};
        duration run{};
    };

    std::vector<shard_times> m_items;
    std::size_t m_shards = 0;
};

} // namespace flaxtiller
