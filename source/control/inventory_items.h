#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

#include <set>
#include <string>

/// What single entries of the store's lists change in this host's copy, whoever told of them.
namespace almondquay {

/// Takes an entry over: one that cannot be read names nothing, one that was deleted is gone.
void take_item(control_state& state, const event& e, inventory_kind kind,
               const inventory_item& item, effects& out);

/// A target as it registered itself; an older life of it changes nothing.
void take_target(control_state& state, const event& e, const registered_target& entry,
                 effects& out);

void take_host(control_state& state, const host& h);

/// The targets of a domain that is taken back are cold unless they say otherwise.
void note_evacuation(control_state& state, const event& e, const failure_domain_id& domain,
                     bool begins, effects& out);

/// An entry that a peer says is gone, or goes after `kept_for`.
void take_gone(control_state& state, const event& e, inventory_kind kind, const std::string& name,
               std::chrono::milliseconds kept_for, effects& out);

/// What a whole list, whose names are `seen`, does not name any more is gone. Returns whether there
/// was something.
bool drop_unseen(control_state& state, const event& e, inventory_kind kind,
                 const std::set<std::string>& seen, effects& out);

/// Drops the deleted targets whose time to register again is over.
void drop_missing(control_state& state, const event& e, effects& out);

} // namespace almondquay
