#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

namespace almondquay {

/// After a stop is requested, callers may use cached look-up answers until their TTL expires; this
/// margin covers answers that are still in transit.
constexpr std::chrono::milliseconds leave_margin{500};
/// If the stop has a time limit, at most this fraction (one half) passes before new requests are
/// refused; the rest is for the running ones.
constexpr int leave_grace_divisor = 2;

/// Creates the initial state. `seed` makes all random choices reproducible.
control_state make_control_state(host_identity self, std::uint64_t seed);

/// The only function that changes control state: applies an event and returns the resulting
/// effects. It reads no clock and performs no I/O.
effects reduce(control_state& state, const event& e);

} // namespace almondquay
