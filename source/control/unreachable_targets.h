#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Targets that refuse connections, told to the hosts of the region.
///
/// In a large fleet each host sends a target a request every few seconds, so without word from
/// others each one would find a dead target by failed requests of its own. A target that was told
/// is left out for a while without probes; if it still refuses then, the first request tells.
namespace almondquay {

/// How long a target is left out after a refused connection.
constexpr std::chrono::milliseconds unreachable_time{2'000};
/// Further ones are told at the next tick.
constexpr std::size_t max_unreachable_per_message = 16;

/// A connection of this host was refused.
void note_refused_connection(control_state& state, const event& e, const target_id& id,
                             effects& out);

/// Another host of the region was refused.
void take_unreachable(control_state& state, const event& e, const gossip_message& message,
                      effects& out);

/// Tells what was noted since the last tick, and takes targets back whose time is over.
void tick_unreachable(control_state& state, const event& e, effects& out);

} // namespace almondquay
