#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Requests that crash the targets that run them: noticed, named, and refused on all hosts.
///
/// In small fleets every host is told of every crash and names requests by itself. In large ones,
/// where the loss of many targets would flood all hosts, only the followers of the store are told;
/// they tell all hosts of the requests that they name.
namespace almondquay {

/// A request in flight at the crashes of so many different targets is quarantined, if no other
/// request was in flight at as many of them and it has not been served since.
constexpr std::size_t crashes_to_quarantine = 2;
/// How long after a crash its other requests may still report it.
constexpr std::chrono::milliseconds evidence_settles{200};
/// Evidence older than this no longer counts.
constexpr std::chrono::minutes evidence_lifetime{5};
constexpr std::chrono::minutes quarantine_time{10};
/// Suspects beyond this are not tracked.
constexpr std::size_t max_suspects = 1'000;

/// Larger fleets collect evidence of crashes at the followers of the store.
constexpr std::size_t max_hosts_told_of_each_crash = 24;

/// Takes evidence of this host or of a peer in, and passes evidence of this host on.
void take_crash_evidence(control_state& state, const event& e, const crash_evidence_event& evidence,
                         effects& out);

/// A suspect was served, so it was only near the crashes.
void clear_suspect(control_state& state, const request_cleared_event& cleared);

/// An operator takes a request out of quarantine.
void release_request(control_state& state, const event& e, const request_released_event& released,
                     effects& out);

/// Names requests at which settled evidence points, ends quarantines whose time is over, and
/// forgets old evidence.
void tick_quarantine(control_state& state, const event& e, effects& out);

} // namespace almondquay
