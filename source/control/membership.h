#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Who is alive, by beat counters passed on between hosts.
namespace almondquay {

/// A host of the own failure domain is taken for dead after this time without a newer beat.
constexpr std::chrono::milliseconds near_timeout{2'000};
/// Beats from other failure domains travel over more hosts.
constexpr std::chrono::milliseconds far_timeout{6'000};
/// Two ticks further apart mean that this process was paused, not that all others are dead.
constexpr std::chrono::milliseconds pause_threshold{1'000};

/// Counts the own beat, marks silent hosts as dead and sends gossip.
void tick_membership(control_state& state, const event& e, effects& out);

/// Takes over newer beats and notices a newer configuration.
void take_gossip(control_state& state, const event& e, const gossip_message& message, effects& out);

/// Tells all hosts of the own failure domain what is in force, at once.
void announce(control_state& state, effects& out);

/// Live hosts that are not leaving, this one included while it serves.
std::set<host_id> live_hosts(const control_state& state);

} // namespace almondquay
