#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Connects the claim reducer to the control state of the host.
namespace almondquay {

/// Runs the claim reducer and converts its effects to control effects; the receiver of a message is
/// resolved from its host id to an endpoint.
void handle_claim_event(control_state& state, const event& e, const claim_event& body,
                        effects& out);

/// Updates the claim reducer's view of the live hosts from the membership state.
void update_claim_view(control_state& state);

} // namespace almondquay
