#pragma once

#include "control/state.h"
#include "peer/host_status.h"

namespace almondquay {

/// The host's status for operators; the calling function fills in the counts of running requests.
host_status make_status(const control_state& state);

} // namespace almondquay
