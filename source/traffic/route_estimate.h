#pragma once

#include <chrono>

/// What a traffic thread has learnt about the requests of a route from those that were served.
///
/// A request that is predicted to take longer than it has time is refused. Only requests that are
/// sent correct the prediction, so if it alone excludes all requests, one of them is sent from time
/// to time as a trial.
namespace almondquay {

struct route_estimate {
    double work_ms = 100;      ///< time per request on a warm target without queueing
    double response_bytes = 0; ///< moving average
    /// When `work_ms` was last corrected, or a trial that could have done so ended.
    std::chrono::steady_clock::time_point checked{};
    bool trial_running = false;
    unsigned failed_trials = 0; ///< since `work_ms` was corrected
    /// The longest time that a trial had since `work_ms` was corrected; 0 if there was none.
    std::chrono::milliseconds longest_trial{0};
};

/// Time without correction after which a trial is due. It doubles with each trial that fails, up to
/// `longest_trial_interval`, as requests are sent in vain while the prediction is right.
constexpr std::chrono::milliseconds trial_interval{500};
constexpr std::chrono::milliseconds longest_trial_interval{4'000};

/// A request with less than its route's objective divided by this left is no trial: it could hardly
/// be served.
constexpr int trial_objective_divisor = 10;

/// Updates the estimate with the time that a request took without queueing. The estimate follows a
/// low quantile in small steps and never passes the newest value.
void note_work(route_estimate& estimate, std::chrono::steady_clock::duration took,
               std::chrono::steady_clock::time_point now);

void note_response_size(route_estimate& estimate, double bytes);

/// Whether a request with this much time is refused by the estimate alone and is to be sent as a
/// trial. A trial that failed with less time does not delay it. `objective` is that of its route.
bool is_trial_due(const route_estimate& estimate, std::chrono::milliseconds time_left,
                  std::chrono::milliseconds objective, std::chrono::steady_clock::time_point now);

void begin_trial(route_estimate& estimate, std::chrono::milliseconds time_left);

/// Ends a trial that was served: requests take no longer than it, queueing included.
void note_trial_served(route_estimate& estimate, std::chrono::steady_clock::duration took,
                       std::chrono::steady_clock::time_point now);

/// Ends a trial that was not served.
void note_trial_failed(route_estimate& estimate, std::chrono::steady_clock::time_point now);

} // namespace almondquay
