#pragma once

#include "config/process_settings.h"
#include "control/effect.h"
#include "control/event.h"
#include "http/client.h"
#include "peer/gossip_channel.h"
#include "store/object_store.h"
#include "timeline/ring.h"
#include "traffic/traffic_server.h"

#include <functional>

/// Executes the effects that the reducer returns and reports their results as events.
namespace almondquay {

/// The interfaces through which effects are executed; all are used on the control thread.
struct interpreter {
    const process_settings* settings = nullptr;
    object_store* store = nullptr;
    http::client* client = nullptr;
    gossip_channel* gossip = nullptr;
    traffic_server* traffic = nullptr;
    timeline_ring* timeline = nullptr;
    std::function<void(event_body)> emit; ///< may be called from any thread
    std::function<void()> exit;
};

/// Starts the effects in order; their results arrive as events through `emit`.
void execute_effects(interpreter& i, effects&& todo);

} // namespace almondquay
