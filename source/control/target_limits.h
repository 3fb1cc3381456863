#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Keeps the requests of all hosts to a target within the limit that the target has named.
///
/// Each region has an equal share of a limit, so that a region that is cut off goes on with its
/// own. Within a region one host, chosen by rendezvous hashing among the live hosts, issues a
/// permit for each request; the others ask it. A host that becomes the issuer starts without
/// permits, since the one before may have issued its share.
namespace almondquay {

/// A target that takes less, or nothing, is still sent requests at this rate, since only a response
/// tells that its limit has changed.
constexpr double lowest_limited_rate = 0.25;
/// A host that has started or was suspended issues permits at a part of the rate for this long,
/// until all hosts know that it lives and no other one still issues in its place.
constexpr std::chrono::milliseconds issuer_settling_time{8'000};
constexpr double settling_rate = 0.25;
/// How soon a request may ask again if its region has no share of a limit.
constexpr std::chrono::milliseconds no_share_pause{2'000};

/// A region's part of a limit: permits per second, and how many may be issued at once.
struct limit_share {
    double rate = 0;
    double burst = 0;
};

/// The share of this host's region in the limit of a target; none if the limit is too low to be
/// divided among all regions and others come first. In any 4 s all regions together issue at most
/// five times the limit and three permits.
limit_share share_of_region(const control_state& state, const target_id& target, double limit);

/// The host of this region that issues the permits for a target.
host_id issuer_of_permits(const control_state& state, const target_id& target);

/// A request of this host wants to be sent to a target that has named a limit.
void handle_permit_wanted(control_state& state, const event& e, const permit_wanted_event& wanted,
                          effects& out);

/// Answers a peer's requests for permits and passes on its answers to this host's requests.
void handle_permit_messages(control_state& state, const event& e, const gossip_message& message,
                            const endpoint& peer, effects& out);

/// Forgets the permits of targets that have not been asked for lately.
void tick_limits(control_state& state, const event& e);

} // namespace almondquay
