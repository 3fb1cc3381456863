#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Synchronises copies of the inventory between hosts without querying the store: every gossip
/// message carries the sender's list revisions and the age of each list's last confirmation, and a
/// host whose copy is behind requests the changes from that peer.
namespace almondquay {

/// Minimum interval between two requests for a peer's copy.
constexpr std::chrono::milliseconds copy_request_interval{300};

/// Requests for copies that run at the same time, and how long an unanswered one counts.
constexpr std::size_t max_running_copies = 2;
constexpr std::chrono::milliseconds copy_request_timeout{1'000};

/// The revision of each list on this host; 0 for a list that is not complete.
inventory_revisions revisions_of(const inventory_state& inventory);

/// The digest of each list on this host; not known for a list that is not complete.
inventory_digests digests_of(const inventory_state& inventory);

/// The time since each list was last confirmed; `never_confirmed` if it never was.
inventory_ages confirmation_ages(const control_state& state, monotonic_time now);

/// The part of the inventory that a peer lacks that has stated its revisions: individual changes
/// where they are known, otherwise whole lists.
inventory_copy copy_of(const control_state& state, const inventory_revisions& stated,
                       monotonic_time now);

/// Encodes the changes of one list after `since` for an announcement. Empty if they are not known
/// or too large for one message.
std::string encode_changes(const control_state& state, inventory_kind kind, store_revision since);

/// Applies the changes carried by an announcement.
void apply_announced_changes(control_state& state, const event& e, const gossip_message& message,
                             effects& out);

/// Applies the lists of a peer's copy that are newer than those of this host.
void handle_peer_inventory(control_state& state, const event& e, const peer_inventory_event& answer,
                           effects& out);

/// Compares a peer's revisions with those of this host. If the local list is as new, the peer's
/// confirmation applies to it too; if it is behind, it is queried again from the store by a
/// follower and requested from the peer by any other host.
void compare_peer_revisions(control_state& state, const event& e, const gossip_message& message,
                            const endpoint& peer, effects& out);

/// Requests the list of hosts from the seeds, then the other missing lists and the configuration
/// from random hosts, mostly of the same region.
void query_peers_while_starting(control_state& state, const event& e, effects& out);

/// Invalidates all confirmations after a suspension. Their ages are measured with the steady clock,
/// which stops while the machine is suspended; a gap between it and the wall clock reveals that.
void drop_confirmations_after_suspension(control_state& state, const event& e);

} // namespace almondquay
