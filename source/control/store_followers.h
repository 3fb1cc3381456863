#pragma once

#include "control/state.h"

/// Which hosts follow the store, so that the others need not ask it.
///
/// In each region the live hosts are ranked by weight and then by hash, the first of each failure
/// domain before the second ones. The first `followers_per_region` follow the store and tell the
/// others of changes. Every host knows up to when each of its lists is confirmed: the latest time
/// at which a follower had the store's word that the list, as it stands, was whole. When
/// confirmations stay out, because the followers died or lost the store, further hosts take over
/// one after the other by rank.
namespace almondquay {

constexpr std::size_t followers_per_region = 2;
/// The hosts that would take over first are told of confirmations directly: so many of the own
/// region, and so many in all.
constexpr std::size_t heirs_per_region = 4;
constexpr std::size_t max_heirs_told = 8;
/// The first heir asks the store this much before a change would have to be in force.
constexpr std::chrono::milliseconds takeover_margin{600};
constexpr std::chrono::milliseconds evacuation_takeover_age{3'500};
constexpr std::chrono::milliseconds host_takeover_age{30'000};
/// Each further host waits this much longer.
constexpr std::chrono::milliseconds takeover_step{200};
/// A host that starts asks the seeds first; the store only after this time, unless it is a seed.
constexpr std::chrono::milliseconds seed_patience{1'200};

/// The place of this host among the live hosts of its region; 0 comes first.
std::size_t rank_in_region(const control_state& state, monotonic_time now);

/// Whether this host is one of those that follow the store.
bool follows_store(const control_state& state, monotonic_time now);

/// The hosts that would take over first, those of the own region before others.
std::vector<const host*> heirs(const control_state& state, monotonic_time now);

/// The hosts of all regions that follow the store; in each region the first one comes first.
std::vector<const host*> all_followers(const control_state& state, monotonic_time now);

/// Whether this host may ask the store about a list now.
bool may_ask_store(const control_state& state, inventory_kind kind, monotonic_time now);

/// Hosts of all regions that follow the store, and the place of this one among them.
struct follower_place {
    std::size_t place = 0;
    std::size_t followers = 1;
};
follower_place place_among_followers(const control_state& state);

} // namespace almondquay
