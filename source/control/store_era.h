#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

#include <optional>

/// Follows the eras of the store, which returns from an older copy of itself in a new one.
///
/// Revisions of two eras name different changes. When a host learns of a newer era, from any answer
/// of the store or from a peer, its lists stay in force until they have been read anew: by the
/// followers from the store, by the others from their peers. What is missing from the store's list
/// then may have been lost with the store's later state, so it stays in force for as long as its
/// writer takes to write it again.
namespace almondquay {

/// Lost registrations of hosts are repeated within this time, and other hosts keep the entry of a
/// host that is not listed for as long.
constexpr std::chrono::milliseconds host_reregistration_time{4'000};
/// The registrations of all hosts after the begin of an era are spread over this time.
constexpr std::chrono::milliseconds registration_spread{1'000};
/// A target that was removed within this time before the begin of an era may be listed again by the
/// store's copy.
constexpr std::chrono::milliseconds departed_retention{30'000};

/// Learns of the era that an answer of the store states. A missing or unreadable one counts as the
/// known one.
void note_answer_era(control_state& state, const event& e, const era_statement& era,
                     bool is_expected, effects& out);

/// Learns of the era that a peer knows.
void note_peer_era(control_state& state, const event& e, store_era era, const host_id& peer,
                   effects& out);

/// The list stays in force and is read anew; the answer to a running query is ignored.
void restart_reading(inventory_list& list, monotonic_time now);

/// The era of an answer or of a peer's message that states `era`.
store_era stated_or_known(const control_state& state, store_era era);

/// Gives the revisions that state no era the known one.
store_revision in_known_era(const control_state& state, store_revision revision);
inventory_revisions in_known_era(const control_state& state, inventory_revisions revisions);
inventory_page in_known_era(const control_state& state, inventory_page page);
inventory_copy in_known_era(const control_state& state, inventory_copy copy);

/// Until when an entry that is not listed any more may be written again; nothing if it is gone.
std::optional<monotonic_time> may_return_until(const control_state& state, inventory_kind kind,
                                               monotonic_time now);

/// Whether an entry of the store may be older than what this host knows of the target.
bool may_be_outdated(const control_state& state, monotonic_time now);

} // namespace almondquay
