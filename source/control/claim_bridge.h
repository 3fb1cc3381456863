#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Joins the claim reducer to the host's whole state.
namespace almondquay {

/// Runs the claim reducer and translates its effects; messages get the endpoints of their hosts.
void take_claim_event(control_state& state, const event& e, const claim_event& body, effects& out);

/// Tells the claims who is alive.
void renew_claim_view(control_state& state);

} // namespace almondquay
