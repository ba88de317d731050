// Runs the dispatch policy and its baselines side by side in virtual time; one line of JSON a run.

#include "run_situation.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <sstream>
#include <thread>

DEFINE_bool(json, false, "one JSON object a line instead of a table");
DEFINE_string(fan_outs, "2,30,100,740", "fan-outs to run");
DEFINE_string(loads, "0.3,0.5,0.7", "shares of the slots to load");
DEFINE_string(situations, "", "only these situations (comma-separated); empty for all");
DEFINE_int32(scale, 100, "queries a run, in per cent of the standard number");
DEFINE_int32(threads, 4, "runs at once");

namespace
{

using namespace flaxtiller::bench;

struct names
{
    static const char* of(policy value)
    {
        constexpr std::array text{"flaxtiller", "single_try", "fixed_hedge", "all_replicas"};
        return text[static_cast<std::size_t>(value)];
    }
    static const char* of(when_full value)
    {
        return value == when_full::queue ? "queue" : "shed";
    }
};

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');)
    {
        parts.push_back(part);
    }
    return parts;
}

std::vector<situation> templates()
{
    std::vector<situation> all;
    const auto add = [&](const char* name) -> situation&
    {
        all.emplace_back();
        all.back().name = name;
        return all.back();
    };
    add("no_fault").straggler_share = 0.0;
    add("stragglers");
    add("slow_server").slow_factor = 4.0;
    add("lost_replica").lost_replica = true;
    add("cold_start").cold_factor = 5.0;
    add("cancel_ignored").cancel_ignored = true;
    situation& overload = add("overload");
    overload.burst_factor = 3.0;
    overload.deadline = flaxtiller::duration::from_ms(180);
    return all;
}

int queries_for(int fan_out)
{
    if (fan_out <= 2)
    {
        return 30000;
    }
    if (fan_out <= 30)
    {
        return 12000;
    }
    return fan_out <= 100 ? 6000 : 2000;
}

std::vector<situation> plan()
{
    const auto wanted = split(FLAGS_situations);
    std::vector<situation> runs;
    for (const situation& base : templates())
    {
        if (!wanted.empty() && std::find(wanted.begin(), wanted.end(), base.name) == wanted.end())
        {
            continue;
        }
        for (const std::string& load : split(FLAGS_loads))
        {
            // Overload is three times half the slots during the middle third.
            if (base.name == "overload" && load != "0.5")
            {
                continue;
            }
            for (const std::string& fan_out : split(FLAGS_fan_outs))
            {
                for (const when_full full : {when_full::queue, when_full::shed})
                {
                    for (const policy way :
                         {policy::flaxtiller, policy::single_try, policy::fixed_hedge, policy::all_replicas})
                    {
                        situation run = base;
                        run.load = std::stod(load);
                        run.fan_out = std::stoi(fan_out);
                        run.queries = queries_for(run.fan_out) * FLAGS_scale / 100;
                        run.when_full = full;
                        run.policy = way;
                        runs.push_back(run);
                    }
                }
            }
        }
    }
    return runs;
}

void print(const situation& run, const measurement& found)
{
    if (FLAGS_json)
    {
        const nlohmann::ordered_json line = {{"situation", run.name},
                                             {"load", run.load},
                                             {"when_full", names::of(run.when_full)},
                                             {"policy", names::of(run.policy)},
                                             {"fan_out", run.fan_out},
                                             {"p50_ms", found.p50_ms},
                                             {"p99_ms", found.p99_ms},
                                             {"p999_ms", found.p999_ms},
                                             {"max_ms", found.max_ms},
                                             {"coverage", found.coverage},
                                             {"whole_answers", found.whole_answers},
                                             {"extra_load", found.extra_load},
                                             {"useful_throughput", found.useful_throughput},
                                             {"refused", found.refused},
                                             {"refusal_ms", found.refusal_ms},
                                             {"p99_after_ms", found.p99_after_ms},
                                             {"most_in_use", found.most_in_use}};
        fmt::print("{}\n", line.dump());
        return;
    }
    fmt::print(
        "{:<14} {:.1f} {:<5} {:<12} {:>4}  p50 {:>7.1f}  p99 {:>7.1f}  p999 {:>7.1f}  cover {:.4f}  whole "
        "{:.4f}  extra {:>6.3f}  useful {:.3f}  refused {:.3f}  after {:>6.1f} in_use {}\n",
        run.name, run.load, names::of(run.when_full), names::of(run.policy), run.fan_out, found.p50_ms,
        found.p99_ms, found.p999_ms, found.coverage, found.whole_answers, found.extra_load,
        found.useful_throughput, found.refused, found.p99_after_ms, found.most_in_use);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto runs = plan();
    std::vector<measurement> results(runs.size());
    std::vector<char> ready(runs.size(), 0);
    std::atomic<std::size_t> next{0};
    std::mutex printing;
    std::size_t printed = 0;
    const auto work = [&]
    {
        for (std::size_t i = next++; i < runs.size(); i = next++)
        {
            results[i] = run_situation(runs[i]);
            const std::scoped_lock lock(printing);
            ready[i] = 1;
            for (; printed < runs.size() && ready[printed] != 0; ++printed)
            {
                print(runs[printed], results[printed]);
                std::fflush(stdout);
            }
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < FLAGS_threads; ++i)
    {
        threads.emplace_back(work);
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return 0;
}
