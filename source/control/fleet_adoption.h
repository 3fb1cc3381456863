#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"
#include "peer/fleet_change.h"

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

/// The generation in force; 0 if there is none.
generation generation_in_force(const control_state& state);

/// The configuration in force with its whole text, also if it is held in parts; empty if there is
/// none.
fleet_envelope whole_envelope(const control_state& state);

/// Puts a change of a configuration that is divided into parts in force, if it leads to a higher
/// generation and the result has the sender's fingerprint. `encoded` is the same change, kept to be
/// passed on. Returns whether it did.
bool adopt_change(control_state& state, const event& e, fleet_change change, std::string encoded,
                  const std::string& source, effects& out);

/// The encoded change from generation `have` to the one in force, or the whole configuration if not
/// all changes since are known. Empty if none is newer.
std::string encoded_change_since(const control_state& state, generation have);

/// Starts serving once this host knows enough (see inventory_sync.h), from the platform or, if that
/// cannot be reached, from a peer.
void start_serving_if_ready(control_state& state, const event& e, effects& out);

/// Whether this host watches the platform for its failure domain. The watchers are the live hosts
/// that rank first by the hash of their id.
bool is_watcher(const control_state& state);

} // namespace almondquay
