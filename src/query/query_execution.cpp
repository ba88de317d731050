#include <flaxtiller/query/query_execution.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

query_execution::query_execution(std::vector<int> shards, std::int64_t revision, std::uint64_t first_number)
    : m_shards(std::move(shards)), m_revision(revision), m_next_number(first_number)
{
}

void query_execution::start(const version_availability& view)
{
    m_version = view.choose(m_shards, m_excluded);
    m_round = 1;
    for (const int shard : m_shards)
    {
        add_part(shard);
    }
    if (m_awaited.empty())
    {
        conclude();
    }
}

void query_execution::add_part(int shard)
{
    const std::uint64_t number = m_next_number++;
    m_awaited.emplace(number, shard);
    m_parts.push_back({number, shard, m_version});
}

bool query_execution::on_result(std::uint64_t number, const subquery_result& result,
                                const version_availability& view)
{
    const auto awaited = m_awaited.find(number);
    if (awaited == m_awaited.end() || awaited->second != result.shard || m_answer)
    {
        return false;
    }
    m_awaited.erase(awaited);
    // Without a version, the answer may belong to a different index version than the other answers.
    const bool usable = result.outcome == outcome::run && !result.version.empty();
    if (usable)
    {
        m_answers[result.version].insert_or_assign(result.shard, result);
        m_failures.erase(result.shard);
    }
    else
    {
        m_failures.insert_or_assign(result.shard, result);
    }
    const bool version_gone =
        result.outcome == outcome::not_run && result.reason == missing_reason::wrong_version;
    if (version_gone && !m_version.empty())
    {
        switch_version(view);
    }
    if (m_awaited.empty() && !unify_versions(view))
    {
        conclude();
    }
    return true;
}

void query_execution::switch_version(const version_availability& view)
{
    std::set<index_version> excluded = m_excluded;
    excluded.insert(m_version);
    const index_version next = view.choose(m_shards, excluded);
    if (next.empty() || m_round >= max_rounds)
    {
        return;
    }
    m_excluded = std::move(excluded);
    m_version = next;
    ++m_round;
    for (const auto& [number, shard] : m_awaited)
    {
        m_abandoned.push_back(number);
    }
    m_awaited.clear();
    for (const int shard : m_shards)
    {
        if (m_answers[m_version].count(shard) == 0)
        {
            add_part(shard);
        }
    }
}

bool query_execution::unify_versions(const version_availability& view)
{
    const bool mixed = m_version.empty() && m_answers.size() > 1;
    if (!mixed || m_round >= max_rounds)
    {
        return false;
    }
    // The first round was sent without a version, as none was known; the answers have reported the versions.
    m_version = view.choose(m_shards, m_excluded);
    ++m_round;
    for (const int shard : m_shards)
    {
        const bool failed_for_other_reason = m_failures.count(shard) > 0;
        if (m_answers[m_version].count(shard) == 0 && !failed_for_other_reason)
        {
            add_part(shard);
        }
    }
    return !m_awaited.empty();
}

void query_execution::on_deadline()
{
    if (!m_answer)
    {
        conclude();
    }
}

index_version query_execution::best_covered_version() const
{
    index_version best;
    std::size_t most = 0;
    for (const auto& [version, answers] : m_answers)
    {
        const bool better = answers.size() > most || (answers.size() == most && is_newer(version, best));
        if (!answers.empty() && better)
        {
            best = version;
            most = answers.size();
        }
    }
    return best;
}

void query_execution::conclude()
{
    query_answer final_answer;
    final_answer.revision = m_revision;
    final_answer.version = best_covered_version();
    std::set<int> awaited;
    for (const auto& [number, shard] : m_awaited)
    {
        awaited.insert(shard);
        m_abandoned.push_back(number);
    }
    m_awaited.clear();
    bool possibly_run = false;
    const auto answers = m_answers.find(final_answer.version);
    for (const int shard : m_shards)
    {
        if (answers != m_answers.end() && answers->second.count(shard) > 0)
        {
            final_answer.covered[shard] = answers->second.at(shard).body;
            continue;
        }
        const auto failure = m_failures.find(shard);
        const bool failed = failure != m_failures.end() && awaited.count(shard) == 0;
        const bool answered_at_other_version = !failed && awaited.count(shard) == 0;
        final_answer.missing[shard] = failed                      ? failure->second.reason
                                      : answered_at_other_version ? missing_reason::wrong_version
                                                                  : missing_reason::late;
        possibly_run = possibly_run || !failed || failure->second.outcome != outcome::not_run;
        if (failed)
        {
            final_answer.retry_after = std::max(final_answer.retry_after, failure->second.retry_after);
        }
    }
    if (!final_answer.covered.empty())
    {
        final_answer.outcome = outcome::run;
    }
    else
    {
        final_answer.outcome = possibly_run ? outcome::unknown : outcome::not_run;
    }
    m_answer = std::move(final_answer);
}

std::vector<query_execution::part> query_execution::take_parts()
{
    return std::exchange(m_parts, {});
}

std::vector<std::uint64_t> query_execution::take_abandoned()
{
    return std::exchange(m_abandoned, {});
}

const std::optional<query_answer>& query_execution::answer() const noexcept
{
    return m_answer;
}

} // namespace flaxtiller
