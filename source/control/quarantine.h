#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Requests that crash the targets that run them: noticed, named, and refused on all hosts.
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

/// Takes evidence of this host or of a peer in. Evidence of this host is passed on to all others.
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
