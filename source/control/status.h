#pragma once

#include "control/state.h"
#include "peer/host_status.h"

namespace almondquay {

/// What this host tells operators; counts of running requests are filled in by the caller.
host_status make_status(const control_state& state);

} // namespace almondquay
