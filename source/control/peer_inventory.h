#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// How hosts keep their copies of the inventory alike without asking the store: every gossip
/// message says which revisions its sender has and how long ago each list was confirmed, and a host
/// that lacks something asks a peer that has it.
namespace almondquay {

/// How soon a host may ask for another copy while one is on its way.
constexpr std::chrono::milliseconds copy_patience{300};

/// What this host has of each list; 0 for one that is not whole.
inventory_revisions revisions_of(const inventory_state& inventory);

/// For each list, how long ago it was confirmed; `never_confirmed` if it was not.
inventory_ages confirmation_ages(const control_state& state, monotonic_time now);

/// What a peer that has `have` is told: changes where they are known, else whole lists.
inventory_copy copy_of(const control_state& state, const inventory_revisions& have,
                       monotonic_time now);

/// The changes of one list after `since` for an announcement; empty if they are too many for one.
std::string news_of(const control_state& state, inventory_kind kind, store_revision since);

/// Takes over the changes that an announcement brings.
void take_news(control_state& state, const event& e, const gossip_message& message, effects& out);

/// Takes over the parts of a peer's copy that are newer than the own ones.
void take_peer_inventory(control_state& state, const event& e, const peer_inventory_event& answer,
                         effects& out);

/// Compares a peer's revisions with the own ones. Where the own list is as new, the peer's
/// confirmation holds for it too; where it is behind, asks the store anew if this host follows it,
/// else the peer.
void note_peer_inventory(control_state& state, const event& e, const gossip_message& message,
                         const endpoint& peer, effects& out);

/// Asks the seeds who is there, and then random hosts of the region for what this host lacks.
void ask_peers_while_starting(control_state& state, const event& e, effects& out);

/// Confirmations count from steady time, which stands still while a machine is suspended; when the
/// clocks disagree, none of them holds.
void drop_confirmations_after_suspension(control_state& state, const event& e);

} // namespace almondquay
