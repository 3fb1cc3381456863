#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Shares among the hosts of a region which targets refuse connections.
///
/// In a large fleet each host sends a given target a request only every few seconds, so without
/// reports from others every host would detect a dead target by failed requests of its own. A
/// reported target is excluded for a fixed time without probes; if it still refuses connections
/// afterwards, the next request detects that.
namespace almondquay {

/// How long a target is excluded after a refused connection.
constexpr std::chrono::milliseconds unreachable_time{2'000};
/// Further targets are reported at the next ticks.
constexpr std::size_t max_unreachable_per_message = 16;

/// Excludes a target that refused a connection of this host and schedules the report to others.
void handle_refused_connection(control_state& state, const event& e, const target_id& id,
                               effects& out);

/// Excludes the targets that another host of the region reported.
void handle_unreachable_report(control_state& state, const event& e, const gossip_message& message,
                               effects& out);

/// Reports the targets excluded since the last tick, and ends exclusions that have expired.
void tick_unreachable(control_state& state, const event& e, effects& out);

} // namespace almondquay
