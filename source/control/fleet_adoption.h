#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Selects the configuration in force. Only one with a higher generation replaces it.
namespace almondquay {

/// Long-poll timeout of a watch on the platform, the store that holds the fleet object.
constexpr std::chrono::milliseconds watch_wait{20'000};
/// Number of hosts per failure domain that watch the platform; the others learn of changes by
/// gossip.
constexpr std::size_t watchers_per_domain = 2;

/// Starts a watch if this host should watch and none is running; queries the seeds while starting.
void tick_fleet(control_state& state, const event& e, effects& out);

void handle_fleet_read(control_state& state, const event& e, const fleet_read_event& read,
                       effects& out);
void handle_fleet_written(control_state& state, const fleet_written_event& written);
void handle_peer_fleet(control_state& state, const event& e, const peer_fleet_event& answer,
                       effects& out);

/// Puts an envelope in force if its generation is higher than the current one and its text parses.
void adopt(control_state& state, const event& e, const fleet_envelope& envelope,
           const std::string& source, effects& out);

/// Starts serving once the configuration in force is known from the platform or, if the platform
/// cannot be reached, from a peer.
void start_serving_if_ready(control_state& state, const event& e, effects& out);

/// Whether this host watches the platform for its failure domain. The watchers are the live hosts
/// that rank first by the hash of their id.
bool is_watcher(const control_state& state);

} // namespace almondquay
