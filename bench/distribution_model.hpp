#pragma once

#include "event_queue.hpp"

#include <flaxtiller/distribution/publisher.hpp>
#include <flaxtiller/distribution/relay_tree.hpp>
#include <flaxtiller/distribution/subscriber.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller::bench
{

/// @brief What a run of the distribution model measured.
struct distribution_measurement
{
    /// From accepted to in force, over all instances.
    double p50_ms = 0;
    double p99_ms = 0;
    double max_ms = 0;
    /// Over the busiest node, while one revision travels.
    std::size_t most_messages = 0;
    std::size_t most_bytes = 0;
    /// Of a report, which every instance sends upstream every 250 ms.
    std::size_t report_bytes = 0;
    std::size_t in_force = 0;
};

/// @brief Many light instances in virtual time: each follows its nearest live ancestor in the relay tree, or
/// the control leader, with the product's own publisher and subscriber.
class distribution_model
{
  public:
    distribution_model(std::size_t instances, std::size_t regions, std::size_t services, std::size_t fan_out)
        : m_base(make_configuration(instances, regions, services)), m_tree(m_base.instances, fan_out)
    {
        for (const auto& [name, item] : m_base.instances)
        {
            m_nodes.emplace(name, node{});
        }
        m_leader.on_revision(1, std::make_shared<const configuration>(m_base));
        run_until(settle_ms);
    }

    /// @brief The instance ends; those below it move up after their patience.
    void kill(const instance_name& name)
    {
        m_dead.insert(name);
    }

    /// @return some instance that relays to others
    instance_name a_relay() const
    {
        for (const auto& [name, item] : m_nodes)
        {
            if (!item.down.instances().empty())
            {
                return name;
            }
        }
        return {};
    }

    /// @brief Accepts a revision that changes one service, and lets it travel.
    distribution_measurement change()
    {
        for (auto& [name, item] : m_nodes)
        {
            item.messages = 0;
            item.bytes = 0;
        }
        configuration next = m_base;
        next.services.at(m_base.services.begin()->first).labels["changed"] =
            std::to_string(m_leader.revision());
        const std::int64_t revision = m_leader.revision() + 1;
        m_accepted_at = m_events.now();
        m_leader.on_revision(revision, std::make_shared<const configuration>(std::move(next)));
        m_in_force_ms.clear();
        push(m_leader, nullptr);
        run_until(m_events.now().since_start().ms() + settle_ms);
        return measure(revision);
    }

  private:
    struct node
    {
        distribution::subscriber state;
        distribution::publisher down;
        std::size_t messages = 0;
        std::size_t bytes = 0;
        std::map<instance_name, time_point> silent_since;
    };

    static constexpr double settle_ms = 3000;
    static constexpr duration report_every = duration::from_ms(250);
    static constexpr duration patience = duration::from_ms(250);
    static constexpr duration near_hop = duration::from_ms(0.5);
    static constexpr duration far_hop = duration::from_ms(10);

    static configuration make_configuration(std::size_t instances, std::size_t regions, std::size_t services)
    {
        configuration made;
        for (std::size_t i = 0; i < instances; ++i)
        {
            instance item;
            item.name = instance_name("instance-" + std::to_string(i));
            item.region = "region-" + std::to_string(i % regions);
            item.address = "10.0.0.1:8000";
            made.instances.emplace(item.name, item);
        }
        for (std::size_t i = 0; i < services; ++i)
        {
            service item;
            item.name = service_name("service-" + std::to_string(i));
            made.services.emplace(item.name, item);
        }
        return made;
    }

    void run_until(double ms)
    {
        const time_point until(duration::from_ms(ms));
        if (!m_reporting)
        {
            m_reporting = true;
            std::size_t i = 0;
            for (auto& [name, item] : m_nodes)
            {
                const double spread =
                    report_every.ms() * static_cast<double>(i++) / static_cast<double>(m_nodes.size());
                m_events.after(duration::from_ms(spread),
                               [this, name = name]
                               {
                                   report(name);
                               });
            }
        }
        bool reached = false;
        m_events.at(until,
                    [&reached]
                    {
                        reached = true;
                    });
        while (!reached && m_events.step())
        {
        }
    }

    /// The nearest ancestor that isn't known to be silent.
    instance_name upstream_of(const instance_name& name, node& item)
    {
        for (const instance_name& above : m_tree.ancestors(name))
        {
            if (m_dead.count(above) == 0)
            {
                item.silent_since.erase(above);
                return above;
            }
            const auto [silent, fresh] = item.silent_since.emplace(above, m_events.now());
            if (m_events.now() - silent->second < patience)
            {
                return above;
            }
        }
        return {};
    }

    void report(const instance_name& name)
    {
        if (m_dead.count(name) > 0)
        {
            return;
        }
        node& item = m_nodes.at(name);
        const instance_name above = upstream_of(name, item);
        const auto word = item.state.report();
        ++item.messages;
        item.bytes += m_report_bytes;
        m_events.after(above.empty() ? far_hop : near_hop,
                       [this, name, above, word]
                       {
                           if (above.empty())
                           {
                               m_leader.on_report(name, word, m_events.now());
                               push(m_leader, nullptr);
                           }
                           else if (m_dead.count(above) == 0)
                           {
                               node& parent = m_nodes.at(above);
                               parent.down.on_report(name, word, m_events.now());
                               push(parent.down, &parent);
                           }
                       });
        m_events.after(report_every,
                       [this, name]
                       {
                           report(name);
                       });
    }

    void push(distribution::publisher& from, node* sender)
    {
        for (const auto& out : from.take_updates(m_events.now()))
        {
            const std::size_t bytes = nlohmann::json::to_cbor(nlohmann::json(*out.update)).size();
            if (sender != nullptr)
            {
                ++sender->messages;
                sender->bytes += bytes;
            }
            m_events.after(sender == nullptr ? far_hop : near_hop,
                           [this, to = out.to, update = out.update]
                           {
                               arrive(to, *update);
                           });
        }
    }

    void arrive(const instance_name& name, const distribution::revision_update& update)
    {
        node& item = m_nodes.at(name);
        if (m_dead.count(name) > 0 || !item.state.on_update(update))
        {
            return;
        }
        m_in_force_ms.push_back((m_events.now() - m_accepted_at).ms());
        item.down.on_revision(update.revision, item.state.current());
        push(item.down, &item);
    }

    distribution_measurement measure(std::int64_t revision)
    {
        distribution_measurement found;
        std::sort(m_in_force_ms.begin(), m_in_force_ms.end());
        const auto at = [&](double share)
        {
            return m_in_force_ms.empty() ? 0.0
                                         : m_in_force_ms[static_cast<std::size_t>(
                                               share * static_cast<double>(m_in_force_ms.size() - 1))];
        };
        found.p50_ms = at(0.5);
        found.p99_ms = at(0.99);
        found.max_ms = at(1.0);
        found.report_bytes = m_report_bytes;
        for (const auto& [name, item] : m_nodes)
        {
            found.most_messages = std::max(found.most_messages, item.messages);
            found.most_bytes = std::max(found.most_bytes, item.bytes);
            found.in_force += m_dead.count(name) == 0 && item.state.revision() == revision ? 1 : 0;
        }
        return found;
    }

    event_queue m_events;
    configuration m_base;
    distribution::relay_tree m_tree;
    std::map<instance_name, node> m_nodes;
    std::set<instance_name> m_dead;
    distribution::publisher m_leader;
    time_point m_accepted_at{};
    std::vector<double> m_in_force_ms;
    bool m_reporting = false;
    const std::size_t m_report_bytes =
        nlohmann::json::to_cbor(
            nlohmann::json(distribution::revision_report{1000000, ~std::uint64_t{0}, false}))
            .size();
};

} // namespace flaxtiller::bench
