#pragma once

#include "control/state.h"
#include "peer/rpc_server.h"
#include "timeline/ring.h"
#include "traffic/traffic_server.h"

namespace almondquay {

/// The JSON-RPC methods of an entry host: "fleet", "status" and "timeline". All run on the
/// control thread, so they see whole states.
rpc_methods make_operator_api(const control_state& state, const timeline_ring& timeline,
                              const traffic_server& traffic);

} // namespace almondquay
