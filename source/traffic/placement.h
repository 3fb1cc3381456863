#pragma once

#include "steering/routing_snapshot.h"
#include "traffic/target_statements.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// Selects a target for a request among the targets that are shared by all hosts.
///
/// A request is served much faster by a target that handled the same object recently (a warm
/// target). All hosts order the targets of an object in the same way, by rendezvous hashing and
/// without coordination. A target whose queue stays long hands a fixed subset of its objects over
/// to the next targets in their order, so that those become warm for them; individual requests are
/// not spread over further targets.
namespace almondquay {

/// What this host knows of a target's load.
struct target_load {
    std::uint32_t in_flight = 0;        ///< requests sent by this host
    std::uint32_t others_in_flight = 0; ///< of other hosts, from the last load report
    double service_ms = 0;              ///< mean time per request without queueing; 0 if unknown
    std::uint32_t waiting = 0;          ///< queue length in the last load report
    double waiting_mean = 0;            ///< moving average of the reported queue length
    std::chrono::steady_clock::time_point reported{};
    /// Other targets are preferred until then; set after consecutive failures.
    std::chrono::steady_clock::time_point avoid_until{};
    unsigned failures = 0; ///< consecutive
    /// No permit for a target with a limit is due before; set when one was denied.
    std::chrono::steady_clock::time_point no_permit_until{};
    double denied_share = 0; ///< moving average of the share of permits that were denied
    std::chrono::steady_clock::time_point denied_at{}; ///< when `denied_share` was updated
    /// When requests were sent to the target while it was cold, within the last second.
    std::deque<std::chrono::steady_clock::time_point> cold_sends;
};

using load_table = std::map<target_id, target_load>;

/// What the selection of a target depends on for one request.
struct placement_criteria {
    std::optional<std::uint64_t> object;           ///< hash of the object that the request accesses
    const std::vector<region_id>* homes = nullptr; ///< permitted regions; all if null or empty
    region_id near_region;                         ///< region of this host
    failure_domain_id near_domain;                 ///< failure domain of this host
    /// Prefer targets of the region: for a large response, distance costs more than a cold target.
    bool stay_near = false;
    std::chrono::milliseconds objective{1'000}; ///< time left until the response time objective
    std::chrono::milliseconds time_left{1'000};
    std::chrono::milliseconds work{100};              ///< time per request on a warm target
    const std::vector<target_id>* excluded = nullptr; ///< targets that have failed this request
    const statement_table* statements = nullptr;      ///< of the targets; none if null
};

struct placement {
    const target_route* target = nullptr; ///< nullptr if none may be used
    std::chrono::milliseconds wait{0};    ///< predicted time in its queue
    std::size_t position = 0;             ///< index in the object's target order
    bool any_usable = false; ///< a target is usable, though possibly at its limit for cold targets
    bool is_refused = false; ///< refused, since the response would most likely be too late
    std::optional<double> limit; ///< that the target has named; the request then needs a permit
    /// Targets that were left out because of what they state about themselves.
    std::size_t limited = 0; ///< have named a limit, and no permit is due
    std::size_t paused = 0;
    std::size_t leaving = 0;
    /// Time until the first one that is limited or paused takes a request; 0 if there is none.
    std::chrono::milliseconds next_due{0};
};

/// Transferring a response larger than this between regions costs more than serving it from a cold
/// target in the same region.
constexpr double large_response_bytes = 20'000;
/// Ratio of the time per request on a cold target to that on a warm target.
constexpr int cold_work_factor = 3;
/// Number of targets at the head of an object's order that are considered.
constexpr std::size_t considered_targets = 3;
/// A target whose mean queue length is below this keeps all its objects.
constexpr double tolerated_queue = 1.0;
/// The share of objects handed over is the queue length above `tolerated_queue` divided by this, at
/// most `max_handed_over`.
constexpr double queue_range = 6.0;
constexpr double max_handed_over = 0.7;
/// Upper bound of the refused share. The remaining requests are sent even under overload, because
/// only their responses show that a queue has drained.
constexpr double max_refused_share = 0.9;
/// Weight of the newest load report in the moving average of the queue length.
constexpr double report_weight = 0.4;
/// Half-life of the mean queue length while no load report arrives.
constexpr std::chrono::milliseconds queue_half_life{2'000};
/// Weight of the newest answer in the moving average of denied permits, and its half-life while
/// none is asked for.
constexpr double permit_weight = 0.2;
constexpr std::chrono::milliseconds denied_half_life{4'000};
/// Half-life of the reported number of requests from other hosts.
constexpr std::chrono::milliseconds report_half_life{300};

/// Chooses a target; does not count the request as sent.
placement place(const std::vector<target_route>& targets, const load_table& loads,
                const placement_criteria& criteria, std::chrono::steady_clock::time_point now);

/// Chooses a target or refuses the request immediately. `draw`, uniformly distributed between 0 and
/// 1, decides which requests are refused.
///
/// A request that prefers its own region but would be refused there may use other regions, so that
/// a region with too few targets for its load can use free capacity elsewhere.
placement place_or_refuse(const std::vector<target_route>& targets, const load_table& loads,
                          placement_criteria criteria, double draw,
                          std::chrono::steady_clock::time_point now);

/// Whether a request prefers the targets of its region: its response is large, and no target has
/// rejected it for lack of capacity yet.
bool stays_near(double response_bytes, bool was_shed);

/// Weighted rendezvous hash of an object and a target; the target with the highest score comes
/// first in the object's order.
double rendezvous_score(std::uint64_t object, const target_route& target);

/// The share of requests with this predicted response time that is refused immediately.
///
/// Under sustained overload, queues as long as the objective make every response late, and since
/// objects are then handed over, targets become cold. The refused share grows with the amount by
/// which the predicted time exceeds the time left of the request's objective, so that all hosts
/// together converge on a load that is served in time.
double refused_share(std::chrono::milliseconds predicted, std::chrono::milliseconds objective);

/// The share of its objects that a target hands over to the next targets in their order.
double handed_over_share(const target_load& load, std::chrono::steady_clock::time_point now);

/// The share of its objects that a target with a limit hands over: as many as permits are denied,
/// so that the objects that stay are always served by the same target.
double denied_share(const target_load& load, std::chrono::steady_clock::time_point now);

/// Updates the load with the answer to a request for a permit.
void note_permit(target_load& load, bool is_granted, std::chrono::milliseconds retry_after,
                 std::chrono::steady_clock::time_point now);

/// Estimate of the number of requests that are queued or running at a target.
double expected_in_flight(const target_load& load, std::chrono::steady_clock::time_point now);

/// Updates the load from a response's load report, "running,waiting,slots"; malformed reports are
/// ignored.
void note_report(target_load& load, std::string_view report,
                 std::chrono::steady_clock::time_point now);

/// Updates the mean time per request from a response time. The load report of the same response
/// must have been noted before.
void note_service_time(target_load& load, const std::uint32_t slots,
                       std::chrono::steady_clock::duration took);

/// Counts a request as sent.
void note_sent(target_load& load, const target_route& target,
               std::chrono::steady_clock::time_point now);

} // namespace almondquay
