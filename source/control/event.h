#pragma once

#include "claims/claim_effect.h"
#include "common/hybrid_clock.h"
#include "config/fleet_envelope.h"
#include "peer/crash_evidence.h"
#include "peer/gossip_message.h"
#include "peer/inventory_copy.h"
#include "store/object_store.h"

#include <string>
#include <variant>

/// The input events of the control reducer.
namespace almondquay {

/// Periodic timer event, sent every `tick_interval`.
struct tick_event {};

/// A read or watch of the fleet object completed.
struct fleet_read_event {
    result<stored_object> object;
};

/// A write of the fleet object completed.
struct fleet_written_event {
    result<object_version> version;
};

/// A request for a peer's fleet envelope succeeded or failed.
struct peer_fleet_event {
    std::string peer;
    result<fleet_envelope> envelope;
};

struct gossip_event {
    gossip_message message;
};

/// A query of the store's inventory completed.
struct inventory_read_event {
    inventory_query query;
    result<inventory_page> page;
    era_statement era{}; ///< as the answer states it, also that of a refusal
};

/// The registration of this host in the store completed.
struct host_registered_event {
    result<done> outcome;
    era_statement era{};
};

/// A request for a peer's copy of the inventory succeeded or failed.
struct peer_inventory_event {
    std::string peer;
    result<inventory_copy> copy;
};

/// The settings file was reloaded because it changed or a signal requested it.
struct settings_changed_event {
    std::vector<endpoint> seeds;
};

/// The outcome of an exchange of the traffic threads with a target.
enum class target_evidence { served, connect_failed, connection_refused, answer_lost };

/// Sent on every failure and on the first success after failures.
struct target_report_event {
    target_id target;
    target_evidence evidence = target_evidence::served;
};

struct probe_ended_event {
    target_id target;
    bool answered = false;
};

/// A target crashed while this request was in flight; observed by this host or reported by a peer.
struct crash_evidence_event {
    crash_evidence crash;
    bool from_peer = false;
};

/// A request that was in flight at a crash has since been served successfully.
struct request_cleared_event {
    request_fingerprint fingerprint = 0;
};

/// A request waits for a permit to be sent to a target that has named a limit.
struct permit_wanted_event {
    std::uint64_t request = 0; ///< the request's id on the traffic thread
    target_id target;
    incarnation life;
    double limit = 0; ///< requests per second from all hosts, as the target named it last
};

/// An operator releases a request from quarantine.
struct request_released_event {
    request_fingerprint fingerprint = 0;
};

/// The operator requested a graceful stop of this process.
struct stop_requested_event {};

/// The traffic threads have finished their last request.
struct traffic_ended_event {};

using event_body =
    std::variant<tick_event, fleet_read_event, fleet_written_event, peer_fleet_event, gossip_event,
                 target_report_event, probe_ended_event, stop_requested_event, traffic_ended_event,
                 crash_evidence_event, request_cleared_event, request_released_event, claim_event,
                 inventory_read_event, host_registered_event, peer_inventory_event,
                 settings_changed_event, permit_wanted_event>;

/// The kind of an event, for logs: "tick", "gossip", "inventory_read" and so on.
std::string_view name_of(const event_body& body);

/// An event and the time at which it was dequeued.
struct event {
    event_body body;
    monotonic_time now;
    wall_time wall;
};

constexpr std::chrono::milliseconds tick_interval{250};

} // namespace almondquay
