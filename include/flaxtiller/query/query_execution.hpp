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

/// @brief Carries one query from its plan to its answer. Deterministic.
///
/// The query is pinned to one index version. If that can't be had on a shard any more, the shards that have
/// no answer at another version, whole as far as known, are asked again; an answer never mixes versions.
class query_execution
{
  public:
    /// @brief A shard to ask, at a version; @ref number tells its result from those of earlier rounds.
    struct part
    {
        std::uint64_t number = 0;
        int shard = 0;
        index_version version;

        bool operator==(const part&) const = default;
    };

    /// @param shards the shards to ask
    /// @param first_number numbers from here on belong to this query
    query_execution(std::vector<int> shards, std::int64_t revision, std::uint64_t first_number);

    /// @brief Plans the first round.
    void start(const version_availability& view);

    /// @brief A part is over.
    /// @return false if the part isn't awaited: late, crossed or doubled results are dropped
    bool on_result(std::uint64_t number, const subquery_result& result, const version_availability& view);

    /// @brief The deadline has come: what isn't there is missing.
    void on_deadline();

    /// @return parts to send now
    std::vector<part> take_parts();

    /// @return numbers of parts that nobody waits for any more
    std::vector<std::uint64_t> take_abandoned();

    /// @return the answer, once it is settled
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
    /// Answers by version, then by shard.
    std::map<index_version, std::map<int, subquery_result>> m_answers;
    /// The last failure of each shard.
    std::map<int, subquery_result> m_failures;
    std::vector<part> m_parts;
    std::vector<std::uint64_t> m_abandoned;
    std::optional<query_answer> m_answer;
};

} // namespace flaxtiller
