#pragma once

#include "claims/claim_effect.h"
#include "config/fleet_envelope.h"
#include "peer/crash_evidence.h"
#include "peer/gossip_message.h"
#include "steering/routing_snapshot.h"
#include "store/object_store.h"
#include "timeline/decision.h"

#include <chrono>
#include <variant>
#include <vector>

/// What the reducer wants done. Effects are data; the interpreter carries them out.
namespace almondquay {

/// Gives the traffic threads a new view.
struct publish_effect {
    snapshot_ptr snapshot;
};

/// Waits for a fleet object other than version `known`. Ends in a fleet_read_event.
struct watch_fleet_effect {
    object_version known = 0;
    std::chrono::milliseconds wait{0};
};

/// Writes the fleet object if it has version `expected`. Ends in a fleet_written_event.
struct write_fleet_effect {
    fleet_envelope envelope;
    object_version expected = 0;
};

/// Asks a peer for its envelope. Ends in a peer_fleet_event.
struct fetch_fleet_effect {
    endpoint peer;
};

/// Asks the store about its inventory. Ends in an inventory_read_event.
struct ask_inventory_effect {
    inventory_question question;
};

/// Lists this host in the store. Ends in a host_registered_event.
struct register_host_effect {
    host self;
};

/// Takes a host that is long dead off the store's list.
struct remove_host_effect {
    host_id id;
};

/// Asks a peer for what its copy of the inventory has beyond `have`. Ends in a
/// peer_inventory_event.
struct fetch_inventory_effect {
    endpoint peer;
    inventory_revisions have;
};

struct send_gossip_effect {
    endpoint peer;
    gossip_message message;
};

/// Passes a message about a claim to a host; its answers come as messages of their own.
struct send_claim_message_effect {
    endpoint peer;
    claim_message message;
};

/// Tells a peer of a request that was in flight at a crash.
struct share_evidence_effect {
    endpoint peer;
    crash_evidence evidence;
};

/// Asks a target whether it answers. Ends in a probe_ended_event.
struct probe_effect {
    target_id target;
    endpoint address;
    std::string path;
};

/// Keeps a decision for the time line and the log.
struct record_effect {
    decision made;
};

/// Takes no further requests and ends once the running ones have. Ends in a traffic_ended_event.
struct stop_traffic_effect {};

/// Ends the process.
struct exit_effect {};

using effect =
    std::variant<publish_effect, watch_fleet_effect, write_fleet_effect, fetch_fleet_effect,
                 send_gossip_effect, probe_effect, record_effect, stop_traffic_effect, exit_effect,
                 read_claims_effect, write_claims_effect, send_claim_message_effect,
                 claim_verdict_effect, share_evidence_effect, ask_inventory_effect,
                 register_host_effect, remove_host_effect, fetch_inventory_effect>;
using effects = std::vector<effect>;

} // namespace almondquay
