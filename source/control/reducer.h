#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

namespace almondquay {

/// After a stop is requested, callers may still use look-up answers for their time to live; this
/// much is added for answers under way.
constexpr std::chrono::milliseconds leave_margin{500};
/// Of a bounded grace this part may pass before new requests are refused; the rest is for the
/// running ones.
constexpr int leave_part = 2;

/// A fresh state. `seed` makes every random choice repeatable.
control_state make_control_state(host_identity self, std::uint64_t seed);

/// The one place where control state changes: takes an event and returns what is to be done.
/// Reads no clock and does no input or output.
effects reduce(control_state& state, const event& e);

} // namespace almondquay
