#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Outlier detection: targets are ejected by the failures of real requests and readmitted by
/// probes.
namespace almondquay {

/// Consecutive failures after which a target is ejected.
constexpr unsigned failures_to_eject = 3;
/// Consecutive successful probes after which an ejected target is readmitted.
constexpr unsigned probes_to_readmit = 2;
constexpr std::chrono::milliseconds probe_interval{500};

void handle_target_report(control_state& state, const event& e, const target_report_event& report,
                          effects& out);
void handle_probe_result(control_state& state, const event& e, const probe_ended_event& probe,
                         effects& out);

/// Starts the probes of ejected targets that are due.
void tick_health(control_state& state, const event& e, effects& out);

/// Targets that are sent no requests: ejected ones that accept no connections, ejected ones that
/// lose answers, and ones that recently refused a connection of this or another host of the region.
/// If more than half of a service's targets fall into the latter two groups at once, the
/// observation is considered unreliable and these targets stay in use.
std::set<target_id> dead_targets(const control_state& state);

} // namespace almondquay
