#pragma once

#include "control/reducer.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// A deterministic simulation of the whole reducer in virtual time: two failure domains with three
/// and two hosts, and a platform that operators write to.
namespace almondquay {

enum class fleet_fault {
    none,
    lost,              ///< the message or call of this step is lost
    late,              ///< the message or call arrives with a long delay
    twice,             ///< the message or call arrives twice
    host_paused,       ///< the step's host is paused for a while
    host_replaced,     ///< the step's host dies and restarts without any state
    platform_down,     ///< the platform does not answer for a while
    platform_restored, ///< the platform is restored to an older state
    domain_cut,        ///< the step's failure domain is partitioned off for a while
    last = domain_cut,
};

using fleet_fault_plan = std::map<std::uint32_t, fleet_fault>;

struct fleet_run_report {
    std::uint32_t steps = 0;
    std::vector<std::string> violations;
    std::chrono::milliseconds in_force_everywhere{0}; ///< after the latest acceptance
    std::set<std::uint64_t> states;
};

/// Starts the hosts, applies generations 1 to 3 and drains a target, under the planned faults.
/// Checks after each event that no host returns to a lower generation, and at the end that the
/// highest accepted generation is in force everywhere.
fleet_run_report run_fleet_scenario(const fleet_fault_plan& plan);

} // namespace almondquay
