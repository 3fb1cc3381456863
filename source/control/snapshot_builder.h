#pragma once

#include "control/state.h"
#include "steering/routing_snapshot.h"

namespace almondquay {

/// Builds the routing snapshot of the current control state for the traffic threads.
snapshot_ptr build_snapshot(const control_state& state);

} // namespace almondquay
