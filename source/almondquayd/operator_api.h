#pragma once

#include "control/event.h"
#include "control/state.h"
#include "peer/rpc_server.h"
#include "timeline/ring.h"
#include "traffic/traffic_server.h"

namespace almondquay {

/// The JSON-RPC methods of an entry host: "fleet", "status", "timeline", "release" and, between
/// hosts, "inventory", "claim" and "crash". All run on the control thread, so each sees a
/// consistent state.
rpc_methods make_operator_api(const control_state& state, const timeline_ring& timeline,
                              const traffic_server& traffic, std::function<void(event_body)> emit);

} // namespace almondquay
