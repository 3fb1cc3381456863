#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

#include <array>

/// Keeps this host's copy of a store's inventory: configuration, targets, evacuations and hosts.
///
/// A few hosts follow the store (see store_followers.h): they read each list completely once and
/// then poll it for changes. All others get their copy from peers (see peer_inventory.h). While the
/// store is unreachable the copy is kept unchanged. Targets that are missing from the list after an
/// outage have `reregistration_time` to register again.
namespace almondquay {

/// Long-poll timeouts of queries for changes. A lost long poll is noticed only by a new query, so
/// the polls of all followers together are spaced by `follow_interval`, and the followers announce
/// to each other the changes that one of them may have missed.
constexpr std::chrono::milliseconds shortest_follow_wait{1'000};
constexpr std::chrono::milliseconds longest_follow_wait{25'000};
/// A query that was lost in an outage of the store must time out soon after the outage, since
/// changes of targets and configuration must then take effect within two seconds again.
constexpr std::chrono::milliseconds longest_urgent_wait{3'500};
constexpr std::chrono::milliseconds longest_evacuation_wait{5'000};
constexpr std::chrono::milliseconds follow_interval{750};
/// A list that stays behind a peer's copy for this long is queried again.
constexpr std::chrono::milliseconds max_lag_behind_peer{150};
/// Targets whose entries expired during an outage are expected to register again within this time
/// after its end.
constexpr std::chrono::milliseconds reregistration_time{2'000};
/// Number of hosts that may use a cold target. The rate that the target can take is divided among
/// them; they are few, so that each share is large enough for whole requests.
constexpr std::size_t hosts_for_cold_target = 2;

/// Issues the queries that are due: lists and changes from the store, copies from peers, and the
/// registration of this host.
void tick_inventory(control_state& state, const event& e, effects& out);

void handle_inventory_page(control_state& state, const event& e, const inventory_read_event& read,
                           effects& out);
void handle_host_registered(control_state& state, const event& e,
                            const host_registered_event& registered, effects& out);

/// Copies regions, failure domains, hosts and targets into the configuration in force, whose text
/// does not list them when there is an inventory.
void apply_inventory_to_fleet(control_state& state);

/// The lists that a host must know completely before it serves: the targets to use, the failure
/// domains whose targets must not be used, and the hosts that share cold targets and are named in
/// look-up answers.
inline constexpr std::array lists_needed_to_serve{
    inventory_kind::targets, inventory_kind::evacuations, inventory_kind::hosts};

/// Whether this host knows all that it must know before it serves: a configuration, and the lists
/// above or, without an inventory, what the platform has answered.
bool knows_enough_to_serve(const control_state& state);

/// Requests per second that this host may send to a cold target; 0 on most hosts.
double cold_share(const control_state& state, const target& t);

} // namespace almondquay
