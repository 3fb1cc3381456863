#include "steering/slot_share.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// Compares policies for picking a target on the same recorded arrivals, in virtual time in units
/// of the mean service time. A host knows only its own requests; a target rejects requests beyond
/// its slots, and the host retries them. Seeded; prints CSV.
namespace {

using namespace almondquay;

constexpr std::uint32_t slots_per_target = 3;
constexpr double round_trip = 0.05; ///< between two hosts or a host and a target
constexpr double retry_pause = 0.1; ///< before the retry of a request that a target rejected
constexpr double report_interval = 0.5;
constexpr double max_wait = 20; ///< a request that has waited longer is not retried
constexpr std::size_t jobs_per_slot = 1'000;

struct job {
    double arrival = 0;
    double service = 0;
    std::size_t host = 0;
};

struct shape {
    std::size_t hosts = 0;
    std::size_t targets = 0;
    double load = 0;
};

struct outcome {
    std::vector<double> waits;
    std::size_t over_limit = 0; ///< attempts that found all slots of their target in use
    std::size_t lost = 0;
};

std::vector<job> record_arrivals(const shape& s)
{
    std::mt19937_64 random(1);
    const double slots = static_cast<double>(s.targets * slots_per_target);
    std::exponential_distribution<double> gap(slots * s.load);
    std::exponential_distribution<double> service(1.0);
    std::vector<job> jobs(jobs_per_slot * s.targets * slots_per_target);
    double now = 0;
    for (auto& j : jobs) {
        now += gap(random);
        j = {now, service(random), random() % s.hosts};
    }
    return jobs;
}

using free_times = std::priority_queue<double, std::vector<double>, std::greater<>>;

/// The time at which `j` starts in a queue with one server per slot; `queue_round_trip` is the
/// round trip to the host that keeps the queue.
double start_in_queue(free_times& slots, const job& j, double queue_round_trip)
{
    const double start =
        std::max(j.arrival + queue_round_trip / 2, slots.top()) + queue_round_trip / 2;
    slots.pop();
    slots.push(start + j.service + queue_round_trip / 2);
    return start;
}

free_times make_slots(std::size_t count)
{
    return free_times(std::greater<>(), std::vector<double>(count, 0.0));
}

outcome shared_queue(const shape& s, const std::vector<job>& jobs, bool is_remote)
{
    auto slots = make_slots(s.targets * slots_per_target);
    outcome o;
    for (const auto& j : jobs) {
        // Host 0 keeps the queue; its own requests need no round trip.
        const double queue_round_trip = is_remote && j.host != 0 ? round_trip : 0;
        o.waits.push_back(start_in_queue(slots, j, queue_round_trip) - j.arrival);
    }
    return o;
}

outcome split_slots(const shape& s, const std::vector<job>& jobs)
{
    std::vector<free_times> own;
    for (std::size_t h = 0; h < s.hosts; ++h) {
        std::size_t share = 0;
        for (std::size_t t = 0; t < s.targets; ++t) {
            share += share_of(slots_per_target, slots_per_target * t, h, s.hosts);
        }
        own.push_back(make_slots(std::max<std::size_t>(share, 1)));
    }
    outcome o;
    for (const auto& j : jobs) {
        o.waits.push_back(start_in_queue(own[j.host], j, 0) - j.arrival);
    }
    return o;
}

enum class selection_policy { random, two_random, least_own, reported };

struct target_loads {
    std::vector<std::uint32_t> in_flight;            ///< actual number, by target
    std::vector<std::uint32_t> reported;             ///< as of the latest report
    std::vector<std::vector<std::uint32_t>> by_host; ///< each host's own requests, by target
    std::mt19937_64 random{2};
};

std::size_t pick(target_loads& loads, selection_policy policy, std::size_t host)
{
    const auto targets = loads.in_flight.size();
    const auto first = loads.random() % targets;
    if (policy == selection_policy::random) {
        return first;
    }
    const auto& seen = policy == selection_policy::reported ? loads.reported : loads.by_host[host];
    if (policy == selection_policy::two_random) {
        const auto second = loads.random() % targets;
        return seen[second] < seen[first] ? second : first;
    }
    // Starting at a random index spreads ties over the targets.
    std::size_t best = first;
    for (std::size_t i = 1; i < targets; ++i) {
        const auto t = (first + i) % targets;
        best = seen[t] < seen[best] ? t : best;
    }
    return best;
}

enum class step_kind { attempt, end, report };

struct step {
    double at = 0;
    step_kind kind = step_kind::attempt;
    std::size_t job_index = 0;
    std::size_t target = 0;
};

struct later {
    bool operator()(const step& a, const step& b) const { return a.at > b.at; }
};

outcome without_coordination(const shape& s, const std::vector<job>& jobs, selection_policy policy,
                             bool retry)
{
    target_loads loads;
    loads.in_flight.resize(s.targets);
    loads.reported.resize(s.targets);
    loads.by_host.assign(s.hosts, std::vector<std::uint32_t>(s.targets));
    std::priority_queue<step, std::vector<step>, later> steps;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        steps.push({jobs[i].arrival, step_kind::attempt, i, 0});
    }
    steps.push({0, step_kind::report, 0, 0});
    outcome o;
    while (!steps.empty()) {
        const auto now = steps.top();
        steps.pop();
        if (now.kind == step_kind::report) {
            loads.reported = loads.in_flight;
            if (!steps.empty()) {
                steps.push({now.at + report_interval, step_kind::report, 0, 0});
            }
            continue;
        }
        const auto& j = jobs[now.job_index];
        if (now.kind == step_kind::end) {
            --loads.in_flight[now.target];
            --loads.by_host[j.host][now.target];
            continue;
        }
        const auto target = pick(loads, policy, j.host);
        if (loads.in_flight[target] < slots_per_target) {
            ++loads.in_flight[target];
            ++loads.by_host[j.host][target];
            o.waits.push_back(now.at - j.arrival);
            steps.push({now.at + j.service, step_kind::end, now.job_index, target});
            continue;
        }
        ++o.over_limit;
        if (retry && now.at - j.arrival < max_wait) {
            steps.push({now.at + round_trip + retry_pause, step_kind::attempt, now.job_index, 0});
        } else {
            ++o.lost;
        }
    }
    return o;
}

double percentile(std::vector<double> values, double part)
{
    const auto rank = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

double erlang_b(double offered, unsigned servers)
{
    double blocked = 1;
    for (unsigned n = 1; n <= servers; ++n) {
        blocked = offered * blocked / (n + offered * blocked);
    }
    return blocked;
}

void print(const shape& s, const std::string& name, const outcome& o, std::size_t jobs)
{
    std::cout << "picking," << s.hosts << ',' << s.targets << ',' << s.load << ',' << name << ','
              << percentile(o.waits, 0.5) << ',' << percentile(o.waits, 0.99) << ','
              << static_cast<double>(o.over_limit) / static_cast<double>(jobs) << ','
              << static_cast<double>(o.lost) / static_cast<double>(jobs) << '\n';
}

void measure(const shape& s)
{
    const auto jobs = record_arrivals(s);
    const auto n = jobs.size();
    print(s, "one ideal queue", shared_queue(s, jobs, false), n);
    print(s, "split slots", split_slots(s, jobs), n);
    print(s, "permits from a dispatcher", shared_queue(s, jobs, true), n);
    print(s, "two random choices",
          without_coordination(s, jobs, selection_policy::two_random, true), n);
    print(s, "least in flight", without_coordination(s, jobs, selection_policy::least_own, true),
          n);
    print(s, "reported load", without_coordination(s, jobs, selection_policy::reported, true), n);
    print(s, "random", without_coordination(s, jobs, selection_policy::random, true), n);
    print(s, "random without retry", without_coordination(s, jobs, selection_policy::random, false),
          n);
    std::cout << "erlang_b," << s.hosts << ',' << s.targets << ',' << s.load << ",bound,,,,"
              << erlang_b(s.load * slots_per_target, slots_per_target) << '\n';
}

} // namespace

int main()
{
    std::cout << "kind,hosts,targets,load,policy,p50_wait,p99_wait,over_limit_a_request,lost\n";
    measure({2, 5, 0.8});
    measure({20, 40, 0.8});
    return 0;
}
