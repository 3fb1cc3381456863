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

/// Carries out the reducer's effects and turns what comes of them into events.
namespace almondquay {

/// The interfaces that effects act on; all live on the control thread.
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

/// Starts each effect in turn; results come back through `emit`.
void carry_out(interpreter& i, effects&& todo);

} // namespace almondquay
