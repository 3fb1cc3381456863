#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Keeps this host's copy of a store's inventory: configuration, targets, evacuations and hosts.
///
/// A few hosts follow the store (see store_followers.h): each list is read whole once and then
/// followed by its changes. All others have theirs from peers (see peer_inventory.h). While the
/// store is away the copy stays as it is. Targets that a fresh list no longer names after an outage
/// get `return_time` to register again.
namespace almondquay {

/// How long the store may hold back the answer to a question for changes. A question that has gone
/// silent is noticed only by asking anew, so the followers together ask every `follow_interval` and
/// tell each other of what they missed.
constexpr std::chrono::milliseconds shortest_follow_wait{1'000};
constexpr std::chrono::milliseconds longest_follow_wait{25'000};
/// A question that an outage of the store has swallowed must be over soon after it, since targets
/// and configuration are then followed again within the usual two seconds.
constexpr std::chrono::milliseconds longest_urgent_wait{3'500};
constexpr std::chrono::milliseconds longest_evacuation_wait{5'000};
constexpr std::chrono::milliseconds follow_interval{750};
/// A list that stays behind that of a peer for this long is asked for anew.
constexpr std::chrono::milliseconds behind_patience{150};
/// Targets whose entries lapsed during an outage are back within this time of its end.
constexpr std::chrono::milliseconds return_time{2'000};
/// Hosts that may use a cold target, so that their parts of what it stands are whole requests.
constexpr std::size_t hosts_for_cold_target = 2;

/// Asks for what is due: lists, changes, peers' copies, and this host's own registration.
void tick_inventory(control_state& state, const event& e, effects& out);

void take_inventory_page(control_state& state, const event& e, const inventory_read_event& read,
                         effects& out);
void take_host_registered(control_state& state, const event& e,
                          const host_registered_event& registered, effects& out);

/// Puts the inventory's places and targets into the fleet in force, which does not list them.
void renew_places(control_state& state);

/// Whether this host may serve: it knows the targets.
bool is_inventory_known(const control_state& state);

/// Requests a second that this host may send to a cold target; 0 for most hosts.
double cold_share(const control_state& state, const target& t);

} // namespace almondquay
