#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Which configuration is in force: only ever a higher generation.
namespace almondquay {

/// How long one watch waits at the platform.
constexpr std::chrono::milliseconds watch_wait{20'000};
/// Hosts of one failure domain that watch the platform; the others hear from them.
constexpr std::size_t watchers_per_domain = 2;

/// Starts a watch if this host should watch and none is running; asks peers while starting.
void tick_fleet(control_state& state, const event& e, effects& out);

void take_fleet_read(control_state& state, const event& e, const fleet_read_event& read,
                     effects& out);
void take_fleet_written(control_state& state, const fleet_written_event& written);
void take_peer_fleet(control_state& state, const event& e, const peer_fleet_event& answer,
                     effects& out);

/// Puts an envelope in force if it is newer than the one in force and can be read.
void adopt(control_state& state, const event& e, const fleet_envelope& envelope,
           const std::string& source, effects& out);

/// Serves once the platform, or failing that a peer, has told what is in force.
void start_serving_if_ready(control_state& state, const event& e, effects& out);

/// Whether this host is one of its domain's watchers, by rendezvous hashing over the live ones.
bool is_watcher(const control_state& state);

} // namespace almondquay
