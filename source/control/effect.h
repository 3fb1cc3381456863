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

/// Side effects requested by the reducer. Effects are plain data; the interpreter executes them.
namespace almondquay {

/// Publishes a new routing snapshot to the traffic threads.
struct publish_effect {
    snapshot_ptr snapshot;
};

/// Long-polls for a version of the fleet object other than `known`. Completes with a
/// fleet_read_event.
struct watch_fleet_effect {
    object_version known = 0;
    std::chrono::milliseconds wait{0};
};

/// Writes the fleet object if its version is still `expected`. Completes with a
/// fleet_written_event.
struct write_fleet_effect {
    fleet_envelope envelope;
    object_version expected = 0;
};

/// Requests the fleet envelope of a peer. Completes with a peer_fleet_event.
struct fetch_fleet_effect {
    endpoint peer;
};

/// Queries the store's inventory. Completes with an inventory_read_event.
struct query_inventory_effect {
    inventory_query query;
};

/// Registers this host in the store. Completes with a host_registered_event.
struct register_host_effect {
    host self;
};

/// Deletes the entry of a host that has been dead for a long time from the store.
struct remove_host_effect {
    host_id id;
};

/// Requests the changes after revisions `have` from a peer's copy of the inventory. Completes with
/// a peer_inventory_event.
struct fetch_inventory_effect {
    endpoint peer;
    inventory_revisions have;
};

struct send_gossip_effect {
    endpoint peer;
    gossip_message message;
};

/// Sends a claim protocol message to a host; replies arrive as separate messages.
struct send_claim_message_effect {
    endpoint peer;
    claim_message message;
};

/// Reports to a peer a request that was in flight when a target crashed.
struct share_evidence_effect {
    endpoint peer;
    crash_evidence evidence;
};

/// Resolves a request that waits for a permit. The traffic thread may have given up waiting.
struct permit_verdict_effect {
    std::uint64_t request = 0;
    bool is_granted = false;
    std::chrono::milliseconds retry_after{0}; ///< if denied: when the next permit is due
};

/// Sends a health check to a target. Completes with a probe_ended_event.
struct probe_effect {
    target_id target;
    endpoint address;
    std::string path;
};

/// Writes a decision to the timeline and the log.
struct record_effect {
    decision made;
};

/// Stops accepting requests and drains the running ones. Completes with a traffic_ended_event.
struct stop_traffic_effect {};

struct exit_effect {};

using effect = std::variant<publish_effect, watch_fleet_effect, write_fleet_effect,
                            fetch_fleet_effect, send_gossip_effect, probe_effect, record_effect,
                            stop_traffic_effect, exit_effect, read_claims_effect,
                            write_claims_effect, send_claim_message_effect, claim_verdict_effect,
                            share_evidence_effect, query_inventory_effect, register_host_effect,
                            remove_host_effect, fetch_inventory_effect, permit_verdict_effect>;
using effects = std::vector<effect>;

} // namespace almondquay
