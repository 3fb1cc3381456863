#include "traffic/route_estimate.h"

#include <algorithm>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;

/// Weight of the newest value in moving averages.
constexpr double mean_weight = 0.1;
/// Step of a quantile's estimate for each value, as a fraction of the estimate.
constexpr double quantile_step = 0.2;
/// The quantile of response times that is taken as the time per request on a warm target without
/// queueing: queues and cold targets only make responses slower.
constexpr double work_quantile = 0.25;

double milliseconds_of(clock::duration took)
{
    return std::chrono::duration<double, std::milli>(took).count();
}

std::chrono::milliseconds interval_after(unsigned failed_trials)
{
    constexpr unsigned most_doublings = 8;
    const auto doubled = trial_interval * (1U << std::min(failed_trials, most_doublings));
    return std::min<std::chrono::milliseconds>(doubled, longest_trial_interval);
}

void note_corrected(route_estimate& estimate, clock::time_point now)
{
    estimate.checked = now;
    estimate.failed_trials = 0;
    estimate.longest_trial = {};
}

} // namespace

void note_work(route_estimate& estimate, clock::duration took, clock::time_point now)
{
    const double newest = milliseconds_of(took);
    const double before = estimate.work_ms;
    const double step = before * quantile_step;
    // A step past the newest value could end above the time that any request has.
    estimate.work_ms = newest > before ? std::min(before + step * work_quantile, newest)
                                       : before - step * (1 - work_quantile);
    note_corrected(estimate, now);
}

void note_response_size(route_estimate& estimate, double bytes)
{
    estimate.response_bytes += (bytes - estimate.response_bytes) * mean_weight;
}

bool is_trial_due(const route_estimate& estimate, std::chrono::milliseconds time_left,
                  std::chrono::milliseconds objective, clock::time_point now)
{
    if (time_left <= objective / trial_objective_divisor) {
        return false;
    }
    const bool is_excluded = estimate.work_ms > static_cast<double>(time_left.count());
    const bool had_less_time =
        estimate.longest_trial.count() != 0 && time_left > estimate.longest_trial;
    return is_excluded && !estimate.trial_running &&
           (had_less_time || now - estimate.checked >= interval_after(estimate.failed_trials));
}

void begin_trial(route_estimate& estimate, std::chrono::milliseconds time_left)
{
    estimate.trial_running = true;
    estimate.longest_trial = std::max(estimate.longest_trial, time_left);
}

void note_trial_served(route_estimate& estimate, clock::duration took, clock::time_point now)
{
    estimate.trial_running = false;
    estimate.work_ms = std::min(estimate.work_ms, milliseconds_of(took));
    note_corrected(estimate, now);
}

void note_trial_failed(route_estimate& estimate, clock::time_point now)
{
    estimate.trial_running = false;
    estimate.checked = now;
    ++estimate.failed_trials;
}

} // namespace almondquay
