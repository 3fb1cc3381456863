#pragma once

#include "control/state.h"
#include "steering/routing_snapshot.h"

namespace almondquay {

/// The traffic threads' view of the present control state.
snapshot_ptr build_snapshot(const control_state& state);

} // namespace almondquay
