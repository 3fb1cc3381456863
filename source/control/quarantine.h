#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Detects requests that crash the targets that run them ("queries of death") and refuses them on
/// all hosts.
///
/// In small fleets every host receives the evidence of every crash and identifies such requests by
/// itself. In large fleets, where the loss of many targets would flood all hosts, only the
/// followers of the store receive it; they notify all hosts of the requests that they identified.
namespace almondquay {

/// A request that was in flight at the crashes of this many different targets is quarantined,
/// unless another request was in flight at as many of them or it has been served since.
constexpr std::size_t crashes_to_quarantine = 2;
/// Evidence about the other requests in flight at a crash may arrive until this long afterwards.
constexpr std::chrono::milliseconds evidence_settling_time{200};
/// Evidence older than this no longer counts.
constexpr std::chrono::minutes evidence_lifetime{5};
constexpr std::chrono::minutes quarantine_time{10};
/// Maximum number of suspects that are tracked; further ones are ignored.
constexpr std::size_t max_suspects = 1'000;

/// In larger fleets crash evidence is sent only to the followers of the store.
constexpr std::size_t max_hosts_sharing_evidence = 24;

/// Records evidence observed by this host or by a peer, and forwards that of this host.
void handle_crash_evidence(control_state& state, const event& e,
                           const crash_evidence_event& evidence, effects& out);

/// Clears a suspect that was served successfully and therefore did not cause the crashes.
void clear_suspect(control_state& state, const request_cleared_event& cleared);

/// Releases a request from quarantine on an operator's command.
void release_request(control_state& state, const event& e, const request_released_event& released,
                     effects& out);

/// Quarantines the requests that settled evidence identifies, ends expired quarantines and discards
/// old evidence.
void tick_quarantine(control_state& state, const event& e, effects& out);

} // namespace almondquay
