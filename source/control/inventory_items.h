#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

#include <set>
#include <string>

/// Applies single inventory entries, from the store or from a peer, to this host's copy.
namespace almondquay {

/// Applies an entry read from the store. An entry that cannot be parsed counts as absent, like one
/// that was deleted.
void apply_item(control_state& state, const event& e, inventory_kind kind,
                const inventory_item& item, effects& out);

/// Applies the registration of a target; one with an older incarnation is ignored.
void apply_target(control_state& state, const event& e, registered_target entry, effects& out);

void apply_host(control_state& state, const host& h);

/// Begins or ends the evacuation of a failure domain. When it ends, the domain's targets count as
/// cold for the `cold_time` of their service, unless a later registration states another time.
void update_evacuation(control_state& state, const event& e, const failure_domain_id& domain,
                       bool begins, effects& out);

/// Removes an entry that a peer reports as deleted; a target is removed only after
/// `grace_left`, unless it registers again within this time.
void apply_removal(control_state& state, const event& e, inventory_kind kind,
                   const std::string& name, std::chrono::milliseconds grace_left, effects& out);

/// Without a call for this long, entries of targets may expire: they do so after three intervals of
/// registration of 1.5 s, the first of which may have begun before the outage.
constexpr std::chrono::milliseconds shortest_lapse{2'500};

/// Records that a list was known to be complete at a time. The confirmations of all hosts together
/// show when the store was away, also to a host that alone was turned away.
void confirm_list(inventory_list& list, monotonic_time at);

/// Removes the entries that a complete list with the names `seen` no longer contains. Returns how
/// many there were.
std::size_t remove_unlisted(control_state& state, const event& e, inventory_kind kind,
                            const std::set<std::string>& seen, effects& out);

/// Removes the entries that were not written again in time after an outage of the store or its
/// return from an older copy.
void remove_expired_entries(control_state& state, const event& e, effects& out);

} // namespace almondquay
