#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/query/query_answer.hpp>
#include <flaxtiller/query/subquery_result.hpp>
#include <flaxtiller/query/version_availability.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace flaxtiller
{

/// @brief Executes one query: divides it into parts, one for each shard, and combines the results to an
/// answer.
///
/// All parts of an answer have the same index version. The query is started at the version held by most
/// shards. If a shard no longer holds this version, the query switches to another version, and parts are sent
/// again to the shards without an answer at the new version. The class is a deterministic state machine
/// without I/O.
class query_execution
{
  public:
    /// @brief A request to one shard at one index version. The number distinguishes its result from those of
    /// earlier requests to the same shard.
    struct part
    {
        std::uint64_t number = 0;
        int shard = 0;
        index_version version;

        bool operator==(const part&) const = default;
    };

    /// @param shards the shards to query
    /// @param revision the configuration revision with which the query is planned
    /// @param first_number the number of the first part; later parts have the following numbers
    query_execution(std::vector<int> shards, std::int64_t revision, std::uint64_t first_number);

    /// @brief Creates the parts of the first round.
    /// @param view the index versions that the shards hold
    void start(const version_availability& view);

    /// @brief Processes the result of a part.
    /// @return false if no result of the part is expected, so that a late, duplicate or mismatched result is
    /// ignored
    bool on_result(std::uint64_t number, const subquery_result& result, const version_availability& view);

    /// @brief Completes the answer at the deadline; the shards without a result are missing.
    void on_deadline();

    /// @brief Returns and removes the parts to send.
    std::vector<part> take_parts();

    /// @brief Returns and removes the numbers of the parts whose results are no longer needed.
    std::vector<std::uint64_t> take_abandoned();

    /// @return the answer, or an empty optional while parts are outstanding
    const std::optional<query_answer>& answer() const noexcept;

  private:
    static constexpr int max_rounds = 4;

    void add_part(int shard);
    void switch_version(const version_availability& view);
    bool unify_versions(const version_availability& view);
    void conclude();
    index_version best_covered_version() const;

    std::vector<int> m_shards;
    std::int64_t m_revision;
    std::uint64_t m_next_number;
    int m_round = 0;
    index_version m_version;
    std::set<index_version> m_excluded;
    std::map<std::uint64_t, int> m_awaited;
    /// The answers, by version and by shard.
    std::map<index_version, std::map<int, subquery_result>> m_answers;
    /// The last failure of each shard, by shard.
    std::map<int, subquery_result> m_failures;
    std::vector<part> m_parts;
    std::vector<std::uint64_t> m_abandoned;
    std::optional<query_answer> m_answer;
};

} // namespace flaxtiller
