#pragma once

#include "control/state.h"

/// Elects the hosts that follow the store, so that the others need not query it.
///
/// In each region the live hosts are ranked by weight and then by hash, with the first host of
/// every failure domain before any second one. The first `followers_per_region` follow the store
/// and propagate changes to the others. For each list every host knows the time of its last
/// confirmation: the latest time at which a follower learned from the store that the list in its
/// current state was complete. When confirmations cease, because the followers died or can no
/// longer reach the store, the hosts next in rank take over one after the other.
namespace almondquay {

constexpr std::size_t followers_per_region = 2;
/// Standby followers, the hosts that would take over first, are sent confirmations directly: up to
/// this many in the same region, and up to this many in total.
constexpr std::size_t standbys_per_region = 4;
constexpr std::size_t max_standbys_notified = 8;
/// The first standby queries the store this long before a change must have taken effect.
constexpr std::chrono::milliseconds takeover_margin{600};
constexpr std::chrono::milliseconds evacuation_takeover_age{3'500};
constexpr std::chrono::milliseconds host_takeover_age{30'000};
/// Each further standby waits this much longer.
constexpr std::chrono::milliseconds takeover_step{200};
/// A starting host queries the seeds first, and the store only after this time unless it is a seed.
constexpr std::chrono::milliseconds store_query_delay{1'200};

/// The rank of this host among the live hosts of its region; 0 is the first.
std::size_t rank_in_region(const control_state& state, monotonic_time now);

bool follows_store(const control_state& state, monotonic_time now);

/// The standby followers, those of the same region before others.
std::vector<const host*> standby_followers(const control_state& state, monotonic_time now);

/// The followers of all regions, ordered by rank within each region.
std::vector<const host*> all_followers(const control_state& state, monotonic_time now);

/// Whether this host may query the store for a list now.
bool may_query_store(const control_state& state, inventory_kind kind, monotonic_time now);

/// The number of followers in all regions and the position of this host among them.
struct follower_position {
    std::size_t position = 0;
    std::size_t followers = 1;
};
follower_position position_among_followers(const control_state& state);

} // namespace almondquay
