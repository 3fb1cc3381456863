#pragma once

#include "steering/routing_snapshot.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

/// Which of the targets that all hosts share gets a request.
///
/// Answers the load of work that is much faster at a target that handled the same object lately:
/// all hosts put an object's targets in the same order without asking each other. A target whose
/// queue stays long hands some of its objects over to their next targets, always the same ones, so
/// that they become warm there; single requests do not wander.
namespace almondquay {

/// What this host knows of a target's load.
struct target_load {
    std::uint32_t in_flight = 0; ///< requests of this host
    std::uint32_t others = 0;    ///< of other hosts, by the target's last report
    double service_ms = 0;       ///< what it takes for a request without its wait; 0: not known
    std::uint32_t waiting = 0;   ///< in its queue, by its last report
    double waiting_mean = 0;     ///< requests in its queue, a running mean of reports
    std::chrono::steady_clock::time_point reported{};
    std::chrono::steady_clock::time_point avoid_until{}; ///< after failures in a row
    unsigned failures = 0;
    std::deque<std::chrono::steady_clock::time_point> cold_sends; ///< within the last second
};

using load_table = std::map<target_id, target_load>;

/// What a request asks of its target.
struct placement_wish {
    std::optional<std::uint64_t> object; ///< hash of the object that it is about
    const std::vector<region_id>* homes = nullptr;
    region_id near_region;
    failure_domain_id near_domain;
    bool stay_near = false; ///< its answer is large, so distance costs more than a cold target
    std::chrono::milliseconds objective{1'000}; ///< left of it
    std::chrono::milliseconds time_left{1'000};
    std::chrono::milliseconds work{100};              ///< what a warm request takes
    const std::vector<target_id>* excluded = nullptr; ///< have failed this request
};

struct placement {
    const target_route* target = nullptr; ///< nullptr: none may be used
    std::chrono::milliseconds wait{0};    ///< predicted, in its queue
    std::size_t position = 0;             ///< in the object's order
    bool any_usable = false;              ///< some target would be usable if it had room
    bool is_refused = false;              ///< it would most likely not be served in time
};

/// Answers larger than this cost more to carry between regions than cold work at a near target.
constexpr double large_answer_bytes = 20'000;
/// Cold work takes this many times as long as warm work.
constexpr int cold_work_factor = 3;
/// Targets of an object's order that are considered.
constexpr std::size_t considered_targets = 3;
/// A target whose queue is shorter than this on average keeps all its objects.
constexpr double tolerated_queue = 1.0;
/// A queue longer than that by so much hands over as many objects as it may.
constexpr double queue_range = 6.0;
constexpr double max_handed_over = 0.7;
/// Some requests are always let through, since only their answers tell that a queue has gone.
constexpr double max_refused_part = 0.9;
/// Weight of the newest report in the mean length of a queue.
constexpr double report_step = 0.4;
/// The mean length of a queue counts half after this time without a report.
constexpr std::chrono::milliseconds queue_half_life{2'000};
/// A report of a target's load counts half after this time.
constexpr std::chrono::milliseconds report_half_life{300};

/// Chooses a target; does not count the request as sent.
placement place(const std::vector<target_route>& targets, const load_table& loads,
                const placement_wish& wish, std::chrono::steady_clock::time_point now);

/// Chooses a target or refuses the request at once. `draw`, evenly from 0 to 1, decides which
/// requests are refused.
///
/// Answers the load of a region whose own targets are too few: a request that would be refused near
/// goes where there is room.
placement place_or_refuse(const std::vector<target_route>& targets, const load_table& loads,
                          placement_wish wish, double draw,
                          std::chrono::steady_clock::time_point now);

/// Whether a request keeps to the targets of its region. One of them may have shed it already.
bool stays_near(double answer_bytes, bool is_shed_near);

/// The place of a target in an object's order; higher comes first. Weighted rendezvous hashing.
double rendezvous_score(std::uint64_t object, const target_route& target);

/// The part of requests with these prospects that is refused at once.
///
/// Answers the load that stays above what the targets can do in time: queues as long as the
/// objective make every answer late and, because objects then wander, all work cold. The refused
/// part grows with how far the predicted time exceeds what the request has left of its objective,
/// so that all hosts together find the level at which the rest is answered in time.
double refused_part(std::chrono::milliseconds predicted, std::chrono::milliseconds objective);

/// The part of its objects that a target hands over to their next targets.
double handed_over_share(const target_load& load, std::chrono::steady_clock::time_point now);

/// The requests that wait or run at a target, as far as this host can tell.
double expected_in_flight(const target_load& load, std::chrono::steady_clock::time_point now);

/// Takes "running,waiting,slots" of an answer in; what cannot be read is ignored.
void note_report(target_load& load, std::string_view report,
                 std::chrono::steady_clock::time_point now);

/// Takes the time of an answer in; its report must have been noted before.
void note_answer_time(target_load& load, const std::uint32_t slots,
                      std::chrono::steady_clock::duration took);

/// Counts a request as sent.
void note_sent(target_load& load, const target_route& target,
               std::chrono::steady_clock::time_point now);

} // namespace almondquay
