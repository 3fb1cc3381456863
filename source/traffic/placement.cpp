#include "traffic/placement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <xxhash.h>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr double hash_count = 18446744073709551616.0; // 2^64

/// Weight of the newest response in the moving average of a target's time per request.
constexpr double service_time_weight = 0.2;

struct candidate {
    const target_route* target = nullptr;
    int distance = 0;
    double score = 0;
    milliseconds wait{0};
    double handed_over = 0;
    std::optional<double> limit;
};

bool is_home(const placement_criteria& criteria, const target_route& t)
{
    return criteria.homes == nullptr || criteria.homes->empty() ||
           std::ranges::find(*criteria.homes, t.in_region) != criteria.homes->end();
}

bool is_excluded(const placement_criteria& criteria, const target_route& t)
{
    return criteria.excluded != nullptr &&
           std::ranges::find(*criteria.excluded, t.id) != criteria.excluded->end();
}

/// Whether the target is warm or this host may send it one more request within the limit for cold
/// targets.
bool has_cold_capacity(const target_route& t, const target_load* load, clock::time_point now)
{
    if (now >= t.cold_until) {
        return true;
    }
    std::size_t sent = 0;
    if (load != nullptr) {
        sent = static_cast<std::size_t>(std::ranges::count_if(
            load->cold_sends, [&](const auto at) { return now - at < std::chrono::seconds(1); }));
    }
    return static_cast<double>(sent) + 1 <= t.cold_per_second;
}

double mean_queue(const target_load& load, clock::time_point now)
{
    const std::chrono::duration<double> age = now - load.reported;
    const std::chrono::duration<double> half_life = queue_half_life;
    return load.waiting_mean * std::exp2(-age / half_life);
}

milliseconds predicted_wait(const target_route& t, const target_load* load,
                            const placement_criteria& criteria, clock::time_point now)
{
    if (load == nullptr) {
        return milliseconds{0};
    }
    const auto slots = std::max<double>(1, t.slots);
    const auto known =
        std::max(expected_in_flight(*load, now),
                 slots + mean_queue(*load, now)); // A target with a queue uses all its slots.
    const auto ahead =
        (mean_queue(*load, now) > 1 ? known : expected_in_flight(*load, now)) + 1 - slots;
    const auto work =
        load->service_ms > 0 ? load->service_ms : static_cast<double>(criteria.work.count());
    const auto wait = std::max(0.0, ahead) * work / slots;
    return milliseconds(std::llround(wait));
}

const target_load* find_load(const load_table& loads, const target_id& id)
{
    const auto found = loads.find(id);
    return found == loads.end() ? nullptr : &found->second;
}

/// A hash of an object and a target, scaled to the range from 0 to 1. The target hands the object
/// over while its handed-over share is above this.
double handover_threshold(std::uint64_t object, const target_route& t)
{
    constexpr std::uint64_t seed =
        0x9e3779b97f4a7c15U; // Differs from the seed of `rendezvous_score`.
    const auto hash = XXH3_64bits_withSeed(t.id.value.data(), t.id.value.size(), object ^ seed);
    return static_cast<double>(hash) / hash_count;
}

/// The index of the first target in the object's order that does not hand it over; if all do, of
/// the one with the smallest handed-over share.
std::size_t choose_for_object(const std::vector<candidate>& all, std::size_t considered,
                              std::uint64_t object)
{
    std::size_t least = 0;
    for (std::size_t i = 0; i < considered; ++i) {
        if (handover_threshold(object, *all[i].target) >= all[i].handed_over) {
            return i;
        }
        if (all[i].handed_over < all[least].handed_over) {
            least = i;
        }
    }
    return least;
}

const target_statement* statement_of(const placement_criteria& criteria, const target_route& t)
{
    return criteria.statements == nullptr ? nullptr : find_statement(*criteria.statements, t);
}

/// The time until a permit for this target is due; 0 if one may be due now or none is needed.
milliseconds time_to_permit(const target_statement* statement, const target_load* load,
                            clock::time_point now)
{
    const bool is_limited = statement != nullptr && statement->limit;
    if (!is_limited || load == nullptr || now >= load->no_permit_until) {
        return milliseconds{0};
    }
    return std::chrono::ceil<milliseconds>(load->no_permit_until - now);
}

milliseconds pause_left(const target_statement* statement, clock::time_point now)
{
    return statement == nullptr || now >= statement->paused_until
               ? milliseconds{0}
               : std::chrono::ceil<milliseconds>(statement->paused_until - now);
}

/// Also sets what `chosen` says of all targets together.
std::vector<candidate> find_candidates(const std::vector<target_route>& targets,
                                       const load_table& loads, const placement_criteria& criteria,
                                       clock::time_point now, placement& chosen)
{
    std::vector<candidate> all;
    std::vector<candidate> avoided;
    for (const auto& t : targets) {
        if (!t.usable || !is_home(criteria, t) || is_excluded(criteria, t)) {
            continue;
        }
        const auto* statement = statement_of(criteria, t);
        if (statement != nullptr && statement->is_leaving) {
            ++chosen.leaving;
            continue;
        }
        chosen.any_usable = true;
        const auto* load = find_load(loads, t.id);
        if (!has_cold_capacity(t, load, now)) {
            continue;
        }
        const auto permit_wait = time_to_permit(statement, load, now);
        const auto pause = pause_left(statement, now);
        if (const auto wait = std::max(permit_wait, pause); wait.count() != 0) {
            ++(pause.count() != 0 ? chosen.paused : chosen.limited);
            chosen.next_due = chosen.next_due.count() == 0 ? wait : std::min(chosen.next_due, wait);
            continue;
        }
        candidate c;
        c.target = &t;
        c.distance = criteria.stay_near && t.in_region != criteria.near_region ? 1 : 0;
        c.wait = predicted_wait(t, load, criteria, now);
        c.handed_over = load == nullptr ? 0 : handed_over_share(*load, now);
        if (statement != nullptr && statement->limit) {
            c.limit = statement->limit;
            c.handed_over = load == nullptr ? 0 : std::max(c.handed_over, denied_share(*load, now));
        }
        c.score = criteria.object ? rendezvous_score(*criteria.object, t)
                                  : -static_cast<double>(c.wait.count());
        (load != nullptr && now < load->avoid_until ? avoided : all).push_back(c);
    }
    return all.empty() ? avoided : all;
}

bool is_refused(const placement& chosen, const placement_criteria& criteria, double draw)
{
    const auto predicted = chosen.wait + criteria.work;
    const bool is_first = criteria.excluded == nullptr || criteria.excluded->empty();
    return predicted > criteria.time_left ||
           (is_first && draw < refused_share(predicted, criteria.objective));
}

} // namespace

double rendezvous_score(std::uint64_t object, const target_route& target)
{
    const auto hash = XXH3_64bits_withSeed(target.id.value.data(), target.id.value.size(), object);
    const auto part = (static_cast<double>(hash) + 1.0) / (hash_count + 2.0);
    return -static_cast<double>(std::max<std::uint32_t>(1, target.slots)) / std::log(part);
}

double expected_in_flight(const target_load& load, clock::time_point now)
{
    const std::chrono::duration<double> age = now - load.reported;
    const std::chrono::duration<double> half_life = report_half_life;
    return load.in_flight + load.others_in_flight * std::exp2(-age / half_life);
}

double refused_share(milliseconds predicted, milliseconds objective)
{
    if (objective.count() <= 0) {
        return 0;
    }
    const auto excess = static_cast<double>((predicted - objective).count());
    return std::clamp(excess / static_cast<double>(objective.count()), 0.0, max_refused_share);
}

double handed_over_share(const target_load& load, clock::time_point now)
{
    const auto excess = (mean_queue(load, now) - tolerated_queue) / queue_range;
    return std::clamp(excess, 0.0, max_handed_over);
}

double denied_share(const target_load& load, clock::time_point now)
{
    const std::chrono::duration<double> age = now - load.denied_at;
    const std::chrono::duration<double> half_life = denied_half_life;
    return load.denied_share * std::exp2(-age / half_life);
}

void note_permit(target_load& load, bool is_granted, milliseconds retry_after,
                 clock::time_point now)
{
    const auto before = denied_share(load, now);
    load.denied_share = before + ((is_granted ? 0.0 : 1.0) - before) * permit_weight;
    load.denied_at = now;
    if (!is_granted) {
        load.no_permit_until = now + retry_after;
    }
}

placement place(const std::vector<target_route>& targets, const load_table& loads,
                const placement_criteria& criteria, clock::time_point now)
{
    placement chosen;
    auto all = find_candidates(targets, loads, criteria, now, chosen);
    if (all.empty()) {
        return chosen;
    }
    const auto considered = std::min(all.size(), considered_targets);
    std::ranges::partial_sort(all, all.begin() + static_cast<std::ptrdiff_t>(considered),
                              [](const candidate& a, const candidate& b) {
                                  return a.distance != b.distance ? a.distance < b.distance
                                                                  : a.score > b.score;
                              });
    const auto best = criteria.object ? choose_for_object(all, considered, *criteria.object) : 0;
    chosen.target = all[best].target;
    chosen.wait = all[best].wait;
    chosen.position = best;
    chosen.limit = all[best].limit;
    return chosen;
}

placement place_or_refuse(const std::vector<target_route>& targets, const load_table& loads,
                          placement_criteria criteria, double draw, clock::time_point now)
{
    auto chosen = place(targets, loads, criteria, now);
    if (criteria.stay_near && (chosen.target == nullptr || is_refused(chosen, criteria, draw))) {
        criteria.stay_near = false;
        chosen = place(targets, loads, criteria, now);
    }
    chosen.is_refused = chosen.target != nullptr && is_refused(chosen, criteria, draw);
    return chosen;
}

bool stays_near(double response_bytes, bool was_shed)
{
    return response_bytes > large_response_bytes && !was_shed;
}

void note_report(target_load& load, std::string_view report, clock::time_point now)
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    const auto* end = report.data() + report.size();
    const auto first = std::from_chars(report.data(), end, running);
    if (first.ec != std::errc{} || first.ptr == end || *first.ptr != ',') {
        return;
    }
    const auto second = std::from_chars(first.ptr + 1, end, waiting);
    if (second.ec != std::errc{}) {
        return;
    }
    const auto total = running + waiting;
    load.others_in_flight = total > load.in_flight ? total - load.in_flight : 0;
    load.waiting = waiting;
    load.waiting_mean = mean_queue(load, now);
    load.waiting_mean += (waiting - load.waiting_mean) * report_weight;
    load.reported = now;
}

void note_service_time(target_load& load, const std::uint32_t slots, clock::duration took)
{
    // A queued request also waits for the requests ahead of it: about one service time for every
    // `slots` of them.
    const std::chrono::duration<double, std::milli> whole = took;
    const auto rounds = 1 + static_cast<double>(load.waiting) / std::max<std::uint32_t>(1, slots);
    const auto service = whole.count() / rounds;
    load.service_ms = load.service_ms > 0
                          ? load.service_ms + (service - load.service_ms) * service_time_weight
                          : service;
}

void note_sent(target_load& load, const target_route& target, clock::time_point now)
{
    ++load.in_flight;
    while (!load.cold_sends.empty() && now - load.cold_sends.front() >= std::chrono::seconds(1)) {
        load.cold_sends.pop_front();
    }
    if (now < target.cold_until) {
        load.cold_sends.push_back(now);
    }
}

} // namespace almondquay
