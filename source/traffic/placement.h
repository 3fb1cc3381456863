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
/// all hosts put an object's targets in the same order without asking each other, and leave the
/// first one only where its queue costs more than cold work at the next.
namespace almondquay {

/// What this host knows of a target's load.
struct target_load {
    std::uint32_t in_flight = 0; ///< requests of this host
    std::uint32_t others = 0;    ///< of other hosts, by the target's last report
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
    bool any_usable = false;              ///< some target would be usable if it had room
};

/// Cold work takes this many times as long as warm work.
constexpr int cold_work_factor = 3;
/// Targets of an object's order that are considered.
constexpr std::size_t considered_targets = 3;
/// A report of a target's load counts half after this time.
constexpr std::chrono::milliseconds report_half_life{300};

/// Chooses a target; does not count the request as sent.
placement place(const std::vector<target_route>& targets, const load_table& loads,
                const placement_wish& wish, std::chrono::steady_clock::time_point now);

/// The place of a target in an object's order; higher comes first. Weighted rendezvous hashing.
double rendezvous_score(std::uint64_t object, const target_route& target);

/// The requests that wait or run at a target, as far as this host can tell.
double expected_in_flight(const target_load& load, std::chrono::steady_clock::time_point now);

/// Takes "running,waiting,slots" of an answer in; what cannot be read is ignored.
void note_report(target_load& load, std::string_view report,
                 std::chrono::steady_clock::time_point now);

/// Counts a request as sent.
void note_sent(target_load& load, const target_route& target,
               std::chrono::steady_clock::time_point now);

} // namespace almondquay
