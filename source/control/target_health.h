#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Which targets get work: evidence from real requests first, probes to come back.
namespace almondquay {

/// Failures in a row after which a target gets no work.
constexpr unsigned failures_to_eject = 3;
/// Good probes in a row after which an ejected target gets work again.
constexpr unsigned probes_to_return = 2;
constexpr std::chrono::milliseconds probe_interval{500};

void take_target_report(control_state& state, const event& e, const target_report_event& report,
                        effects& out);
void take_probe(control_state& state, const event& e, const probe_ended_event& probe, effects& out);

/// Starts due probes of ejected targets of the own failure domain.
void tick_health(control_state& state, const event& e, effects& out);

/// Targets that get no work: those that take no connections, those that lose answers, and those
/// that others were refused by. If more than half of a service's targets in the domain are of the
/// latter two kinds at once, the measurement is distrusted instead.
std::set<target_id> dead_targets(const control_state& state);

} // namespace almondquay
