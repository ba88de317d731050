#pragma once

#include <flaxtiller/core/token_bucket.hpp>
#include <flaxtiller/distribution/report_interval.hpp>
#include <flaxtiller/teams/rate_limit_coordinator.hpp>
#include <flaxtiller/teams/rate_limiter.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

/// @file
/// One team's requests at many entries in virtual time, and the ways to keep its limit over all of them.

namespace limit_play
{

using namespace flaxtiller;

/// @brief What happens in one play.
struct scenario
{
    int entries = 85;
    rate_limit limit{16.0, 16.0};
    /// The team's usual requests a second, as a share of its limit.
    double usual = 0.6;
    double hot_factor = 1.0;
    double hot_from_s = 10.0;
    double hot_for_s = 0.0;
    /// Share of the requests that reach one entry, whatever the others get.
    double to_one = 0.0;
    /// Nobody leads meanwhile, and after @ref stand_in_after_s another replica stands in; afterwards yet
    /// another one leads. Neither knows what was sent before.
    double leaderless_from_s = 0.0;
    double leaderless_for_s = 0.0;
    /// Entries that can't reach the leader meanwhile.
    double cut_share = 0.0;
    double cut_from_s = 0.0;
    double cut_for_s = 0.0;
    /// The coordinator processes nothing meanwhile, and what was sent to it later. Another replica leads
    /// after @ref election_s.
    double suspended_from_s = -1.0;
    double suspended_for_s = 7.0;
    double election_s = 1.25;
    /// Each entry sees a request of another team just before and just after the suspension begins.
    bool others = false;
    /// All entries and the leader begin anew.
    double restart_at_s = -1.0;
    /// From then on the limit is this.
    double lowered_at_s = -1.0;
    rate_limit lowered;
    double seconds = 30.0;
    std::uint32_t seed = 1;
};

/// @brief What came of it.
struct result
{
    /// The most requests admitted in a window, as a share of the most that the tolerance allows.
    double fullest_window = 0.0;
    /// Of the requests that a single exact bucket admits, the share that was refused here.
    double refused_below = 0.0;
    /// The same, of the requests that arrived while the coordinator was suspended.
    double refused_while_suspended = 0.0;
    double messages_per_s = 0.0;
    double mean_wait_ms = 0.0;
    int requests = 0;
};

/// Until then entries have found out that nobody leads, and whom to ask.
inline constexpr double stand_in_after_s = 2.5;

/// The share of the entries that follow the suspended coordinator. They find another leader within
/// @ref stand_in_after_s; the others hear of it with their next report.
inline constexpr double follow_suspended_share = 1.0 / 3.0;
/// The interval at which an entry reports to the replica that it follows.
inline constexpr double followed_report_s = 0.25;

inline const rate_tolerance tolerance{duration::from_ms(5000), 0.1, 20.0};

/// @brief The play's clock and the events to come.
class timeline
{
  public:
    void at(time_point when, std::function<void()> what)
    {
        m_events.push({when, m_next++, std::move(what)});
    }

    void run(time_point end)
    {
        while (!m_events.empty() && m_events.top().when <= end)
        {
            event next = m_events.top();
            m_events.pop();
            now = std::max(now, next.when);
            next.what();
        }
    }

    time_point now{};

  private:
    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> what;

        bool operator<(const event& other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    std::priority_queue<event> m_events;
    std::uint64_t m_next = 0;
};

/// @brief A way to keep the limit: told of each request, it tells @a admitted of those that it admits.
class way
{
  public:
    virtual ~way() = default;
    virtual void arrive(int entry, std::uint64_t request) = 0;
    virtual void set_limit(const rate_limit& limit) = 0;
    virtual void restart()
    {
    }

    std::function<void(std::uint64_t)> admitted;
    std::uint64_t messages = 0;
};

/// @brief Each entry has an n-th of the limit; of a share of less than one request, whole ones for the first.
class fixed_shares : public way
{
  public:
    fixed_shares(timeline& time, const scenario& wanted, bool whole)
        : m_time(time), m_whole(whole), m_buckets(static_cast<std::size_t>(wanted.entries))
    {
        set_limit(wanted.limit);
    }

    void arrive(int entry, std::uint64_t request) override
    {
        if (m_buckets[static_cast<std::size_t>(entry)].take(m_time.now))
        {
            admitted(request);
        }
    }

    void set_limit(const rate_limit& limit) override
    {
        const auto all = static_cast<double>(m_buckets.size());
        const double beyond = tolerance.max_requests_per_window(limit) - tolerance.limit_per_window(limit);
        const double holders = m_whole ? std::max(1.0, std::min(all, std::floor(limit.burst + beyond))) : all;
        for (std::size_t i = 0; i < m_buckets.size(); ++i)
        {
            const bool holds = static_cast<double>(i) < holders;
            const double most = std::max(1.0, limit.burst / holders);
            m_buckets[i].limit(holds ? limit.requests_per_s / holders : 0.0, holds ? most : 0.0, m_time.now);
        }
    }

  private:
    timeline& m_time;
    const bool m_whole;
    std::vector<token_bucket> m_buckets;
};

/// @brief The leader's account, and the entries' limiters.
class account : public way
{
  public:
    account(timeline& time, const scenario& wanted)
        : m_time(time), m_wanted(wanted), m_draw(wanted.seed + 1), m_ledger(tolerance), m_successor(tolerance)
    {
        m_team.name = team_name("t");
        m_other.name = team_name("other");
        m_other.limit = {1000.0, 1000.0};
        m_limiters.resize(static_cast<std::size_t>(wanted.entries));
        set_limit(wanted.limit);
        for (int entry = 0; entry < wanted.entries; ++entry)
        {
            confirm(entry);
        }
        if (has_suspension())
        {
            schedule_succession();
        }
    }

    void arrive(int entry, std::uint64_t request) override
    {
        rate_limiter& limiter = m_limiters[static_cast<std::size_t>(entry)];
        const rate_limiter::decision made = limiter.admit(request, m_team, m_time.now);
        if (made.what == rate_limiter::verdict::admitted)
        {
            admitted(request);
        }
        look(entry);
    }

    void set_limit(const rate_limit& limit) override
    {
        m_team.limit = limit;
        configure(m_ledger);
        configure(m_successor);
        for (rate_limiter& limiter : m_limiters)
        {
            limiter.configure(teams(), m_wanted.entries);
        }
    }

    void restart() override
    {
        m_ledger = rate_limit_coordinator(tolerance);
        m_successor = rate_limit_coordinator(tolerance);
        for (rate_limiter& limiter : m_limiters)
        {
            limiter = rate_limiter();
        }
        set_limit(m_team.limit);
    }

  private:
    /// The replicas beside the coordinator.
    static constexpr std::uint64_t witnesses = 2;

    shared_map<team_name, team> teams() const
    {
        shared_map<team_name, team> all;
        all.insert_or_assign(m_team.name, m_team);
        all.insert_or_assign(m_other.name, m_other);
        return all;
    }

    void configure(rate_limit_coordinator& ledger) const
    {
        ledger.configure(teams(), m_time.now);
    }

    bool is_within(double from_s, double for_s) const
    {
        const double now_s = m_time.now.since_start().ms() / 1000.0;
        return now_s >= from_s && now_s < from_s + for_s;
    }

    bool has_suspension() const
    {
        return m_wanted.suspended_from_s >= 0.0;
    }

    bool is_suspended() const
    {
        return has_suspension() && is_within(m_wanted.suspended_from_s, m_wanted.suspended_for_s);
    }

    /// Draws when each entry follows the successor of the suspended coordinator.
    void schedule_succession()
    {
        std::mt19937 draw(m_wanted.seed + 2);
        std::uniform_real_distribution<double> share(0.0, 1.0);
        const double elected_s = m_wanted.suspended_from_s + m_wanted.election_s;
        m_time.at(time_point(duration::from_ms(elected_s * 1000.0)),
                  [this]
                  {
                      m_successor.restart(m_time.now);
                  });
        m_follows_successor.resize(m_limiters.size());
        constexpr double others_within_s = 0.3;
        for (int entry = 0; m_wanted.others && entry < m_wanted.entries; ++entry)
        {
            arrive_other(m_wanted.suspended_from_s - share(draw) * others_within_s, entry);
            arrive_other(m_wanted.suspended_from_s + share(draw) * others_within_s, entry);
        }
        for (int entry = 0; entry < m_wanted.entries; ++entry)
        {
            const bool follows_suspended = share(draw) < follow_suspended_share;
            const double within_s =
                follows_suspended ? stand_in_after_s - m_wanted.election_s : followed_report_s;
            m_time.at(time_point(duration::from_ms((elected_s + share(draw) * within_s) * 1000.0)),
                      [this, entry]
                      {
                          follow_successor(entry);
                      });
        }
    }

    void arrive_other(double at_s, int entry)
    {
        m_time.at(time_point(duration::from_ms(at_s * 1000.0)),
                  [this, entry]
                  {
                      m_limiters[static_cast<std::size_t>(entry)].admit(0, m_other, m_time.now);
                      look(entry);
                  });
    }

    void follow_successor(int entry)
    {
        m_follows_successor[static_cast<std::size_t>(entry)] = true;
        m_limiters[static_cast<std::size_t>(entry)].on_coordinator_changed(true, m_time.now);
        look(entry);
        m_time.at(m_time.now + way_to_leader() + way_to_leader(),
                  [this, entry]
                  {
                      m_limiters[static_cast<std::size_t>(entry)].on_coordinator_contact(m_time.now);
                  });
    }

    bool follows_successor(int entry) const
    {
        return has_suspension() && m_follows_successor[static_cast<std::size_t>(entry)];
    }

    /// The leader's word on the revision, which each entry gets once a report.
    void confirm(int entry)
    {
        const bool leaderless = is_within(m_wanted.leaderless_from_s, m_wanted.leaderless_for_s);
        const bool silent = is_suspended() && !follows_successor(entry);
        if (is_reachable(entry) && !leaderless && !silent)
        {
            m_limiters[static_cast<std::size_t>(entry)].on_coordinator_contact(m_time.now);
        }
        m_time.at(m_time.now + distribution::report_interval(m_wanted.entries).every(),
                  [this, entry]
                  {
                      confirm(entry);
                  });
    }

    bool is_reachable(int entry) const
    {
        const bool cut = is_within(m_wanted.cut_from_s, m_wanted.cut_for_s) &&
                         entry < m_wanted.cut_share * m_wanted.entries;
        const bool nobody =
            is_within(m_wanted.leaderless_from_s, std::min(m_wanted.leaderless_for_s, stand_in_after_s));
        return !cut && !nobody;
    }

    duration way_to_leader()
    {
        // Within a zone, a region, and between regions.
        return duration::from_ms(std::uniform_real_distribution<double>(1.0, 15.0)(m_draw));
    }

    /// Does what the entry's limiter wants done, and looks again when it is next due.
    void look(int entry)
    {
        rate_limiter& limiter = m_limiters[static_cast<std::size_t>(entry)];
        limiter.on_time(m_time.now);
        for (const rate_limiter::decision& made : limiter.take_decisions())
        {
            if (made.what == rate_limiter::verdict::admitted && made.request != 0)
            {
                admitted(made.request);
            }
        }
        if (const auto report = limiter.take_report(m_time.now))
        {
            ++messages;
            if (is_reachable(entry))
            {
                m_time.at(m_time.now + way_to_leader(),
                          [this, entry, told = *report, successor = follows_successor(entry)]
                          {
                              receive(entry, told, successor);
                          });
            }
        }
        send_to_witness(entry);
        const time_point next = limiter.next_time();
        if (next != time_point::never())
        {
            m_time.at(std::max(next, m_time.now + duration::from_us(100)),
                      [this, entry]
                      {
                          look_if_due(entry);
                      });
        }
    }

    /// Of the replicas beside the coordinator, one is played: the successor, until an entry follows it.
    void send_to_witness(int entry)
    {
        const auto report = m_limiters[static_cast<std::size_t>(entry)].take_witness_report(m_time.now);
        if (!report)
        {
            return;
        }
        messages += witnesses;
        if (is_reachable(entry) && !follows_successor(entry))
        {
            m_time.at(m_time.now + way_to_leader(),
                      [this, told = *report]
                      {
                          (void)m_successor.on_report(told, m_time.now);
                          tell_statuses(m_successor, true);
                      });
        }
    }

    void tell_statuses(rate_limit_coordinator& ledger, bool successor)
    {
        if (ledger.has_status_updates())
        {
            const limit_update news = ledger.take_status_updates(m_time.now);
            for (int other = 0; other < m_wanted.entries; ++other)
            {
                tell(other, news, successor);
            }
        }
    }

    void look_if_due(int entry)
    {
        if (m_limiters[static_cast<std::size_t>(entry)].next_time() <= m_time.now)
        {
            look(entry);
        }
    }

    /// A suspended coordinator takes its messages once it resumes.
    void receive(int entry, const limit_report& report, bool successor)
    {
        if (successor || !is_suspended())
        {
            on_report(entry, report, successor);
            return;
        }
        const double resumes_s = m_wanted.suspended_from_s + m_wanted.suspended_for_s;
        m_time.at(time_point(duration::from_ms(resumes_s * 1000.0)),
                  [this, entry, report]
                  {
                      on_report(entry, report, false);
                  });
    }

    void on_report(int entry, const limit_report& report, bool successor)
    {
        if (!is_reachable(entry))
        {
            return;
        }
        const int keeper = is_within(m_wanted.leaderless_from_s, m_wanted.leaderless_for_s) ? 1
                           : is_within(0.0, m_wanted.leaderless_from_s)                     ? 0
                                                                                            : 2;
        if (keeper != m_keeper)
        {
            m_keeper = keeper;
            m_ledger = rate_limit_coordinator(tolerance);
            configure(m_ledger);
        }
        rate_limit_coordinator& ledger = successor ? m_successor : m_ledger;
        tell(entry, ledger.on_report(report, m_time.now), successor);
        tell_statuses(ledger, successor);
    }

    void tell(int entry, const limit_update& word, bool successor)
    {
        ++messages;
        if (!is_reachable(entry))
        {
            return;
        }
        m_time.at(m_time.now + way_to_leader(),
                  [this, entry, word, successor]
                  {
                      if (follows_successor(entry) != successor)
                      {
                          m_limiters[static_cast<std::size_t>(entry)].on_other_limit_update(word, m_time.now);
                          return;
                      }
                      m_limiters[static_cast<std::size_t>(entry)].on_limit_update(word, m_time.now);
                      look(entry);
                  });
    }

    timeline& m_time;
    const scenario m_wanted;
    std::mt19937 m_draw;
    team m_team;
    team m_other;
    rate_limit_coordinator m_ledger;
    /// Takes over from a suspended coordinator; the entries that follow it, by number.
    rate_limit_coordinator m_successor;
    std::vector<bool> m_follows_successor;
    std::vector<rate_limiter> m_limiters;
    /// The leader, who stands in, or the next leader.
    int m_keeper = 0;
};

/// @brief Plays a scenario with one way.
inline result play(const scenario& wanted, const std::function<std::unique_ptr<way>(timeline&)>& make)
{
    timeline time;
    const std::unique_ptr<way> tried = make(time);
    std::mt19937 draw(wanted.seed);
    std::vector<time_point> arrivals;
    std::map<std::uint64_t, time_point> asked_at;
    std::vector<time_point> admitted;
    int admitted_while_suspended = 0;
    const auto while_suspended = [&](time_point at)
    {
        const double since_s = at.since_start().ms() / 1000.0 - wanted.suspended_from_s;
        return wanted.suspended_from_s >= 0.0 && since_s >= 0.0 && since_s < wanted.suspended_for_s;
    };
    double waited_ms = 0.0;
    tried->admitted = [&](std::uint64_t request)
    {
        admitted.push_back(time.now);
        admitted_while_suspended += while_suspended(asked_at.at(request)) ? 1 : 0;
        waited_ms += (time.now - asked_at.at(request)).ms();
    };
    double at_s = 0.0;
    for (std::uint64_t request = 1; at_s < wanted.seconds; ++request)
    {
        const bool hot = at_s >= wanted.hot_from_s && at_s < wanted.hot_from_s + wanted.hot_for_s;
        const double rate = wanted.limit.requests_per_s * wanted.usual * (hot ? wanted.hot_factor : 1.0);
        at_s += std::exponential_distribution<double>(rate)(draw);
        const bool to_first = std::uniform_real_distribution<double>(0.0, 1.0)(draw) < wanted.to_one;
        const int entry = to_first ? 0 : std::uniform_int_distribution<int>(0, wanted.entries - 1)(draw);
        arrivals.push_back(time_point(duration::from_ms(at_s * 1000.0)));
        time.at(arrivals.back(),
                [&, request, entry]
                {
                    asked_at[request] = time.now;
                    tried->arrive(entry, request);
                });
    }
    if (wanted.restart_at_s >= 0.0)
    {
        time.at(time_point(duration::from_ms(wanted.restart_at_s * 1000.0)),
                [&]
                {
                    tried->restart();
                });
    }
    if (wanted.lowered_at_s >= 0.0)
    {
        time.at(time_point(duration::from_ms(wanted.lowered_at_s * 1000.0)),
                [&]
                {
                    tried->set_limit(wanted.lowered);
                });
    }
    time.run(time_point(duration::from_ms(wanted.seconds * 1000.0 + 2000.0)));

    result found;
    found.requests = static_cast<int>(arrivals.size());
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last)
    {
        while (admitted[last] - admitted[first] > tolerance.window)
        {
            ++first;
        }
        // A lower limit binds one window later.
        const double bound_from_ms = wanted.lowered_at_s * 1000.0 + tolerance.window.ms();
        const bool lowered =
            wanted.lowered_at_s >= 0.0 && admitted[first].since_start().ms() >= bound_from_ms;
        const double most = tolerance.max_requests_per_window(lowered ? wanted.lowered : wanted.limit);
        found.fullest_window = std::max(found.fullest_window, static_cast<double>(last - first + 1) / most);
    }
    token_bucket exact(wanted.limit.requests_per_s, wanted.limit.burst, wanted.limit.burst, time_point{});
    int allowed = 0;
    int allowed_while_suspended = 0;
    for (const time_point arrival : arrivals)
    {
        const bool lowered =
            wanted.lowered_at_s >= 0.0 && arrival.since_start().ms() >= wanted.lowered_at_s * 1000.0;
        const rate_limit& limit = lowered ? wanted.lowered : wanted.limit;
        exact.limit(limit.requests_per_s, std::max(limit.burst, 1.0), arrival);
        const bool taken = exact.take(arrival);
        allowed += taken ? 1 : 0;
        allowed_while_suspended += taken && while_suspended(arrival) ? 1 : 0;
    }
    const int missing_while_suspended = allowed_while_suspended - admitted_while_suspended;
    if (missing_while_suspended > 0)
    {
        found.refused_while_suspended =
            static_cast<double>(missing_while_suspended) / allowed_while_suspended;
    }
    const int missing = allowed - static_cast<int>(admitted.size());
    found.refused_below = allowed == 0 ? 0.0 : std::max(0.0, static_cast<double>(missing) / allowed);
    found.messages_per_s = static_cast<double>(tried->messages) / wanted.seconds;
    found.mean_wait_ms = admitted.empty() ? 0.0 : waited_ms / static_cast<double>(admitted.size());
    return found;
}

inline result play_account(const scenario& wanted)
{
    return play(wanted,
                [&](timeline& time)
                {
                    return std::make_unique<account>(time, wanted);
                });
}

inline result play_shares(const scenario& wanted, bool whole)
{
    return play(wanted,
                [&](timeline& time)
                {
                    return std::make_unique<fixed_shares>(time, wanted, whole);
                });
}

} // namespace limit_play
