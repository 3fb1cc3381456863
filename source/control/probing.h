#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Detects dead hosts faster than missing heartbeats in gossip would.
///
/// All hosts of the fleet form a ring, in which those of each failure domain are spread evenly, so
/// that the predecessors of hosts that are lost together with their domain or region are elsewhere.
/// Each host pings its successor, and the ones after it while the successor does not answer. A
/// neighbour that stays silent is suspected: a few other hosts at a time are asked to ping it as
/// well, and it is declared dead only if none of them reports an answer in time, and if this host
/// has received anything else in that time: otherwise this host itself may be cut off. After A.
/// Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
/// Membership Protocol", 2002.
namespace almondquay {

/// In smaller fleets, heartbeats in gossip are frequent enough without probing.
constexpr std::size_t min_probed_hosts = 3;
/// Interval between two pings to the same neighbour.
constexpr std::chrono::milliseconds host_probe_interval{500};
/// When all pinged neighbours have been silent for this long, twice as many and one are pinged.
constexpr std::chrono::milliseconds next_neighbour_delay{700};
/// A neighbour that has not answered pings for this long is suspected.
constexpr std::chrono::milliseconds suspicion_threshold{1'000};
/// A suspected host is declared dead if the suspicion is not refuted within this time.
constexpr std::chrono::milliseconds suspicion_timeout{1'200};
constexpr std::size_t max_neighbours_pinged = 15;
/// Number of hosts per round of indirect pings. Rounds are repeated while a suspicion stands, since
/// an indirect ping takes four messages, each of which may get lost.
constexpr std::size_t hosts_per_indirect_ping = 3;
/// Interval between two rounds of indirect pings.
constexpr std::chrono::milliseconds indirect_ping_interval{250};

/// Whether the fleet is large enough for probing.
bool is_probed_fleet(const control_state& state);

/// Pings the neighbours, suspects the silent ones and checks for suspicions that were not refuted
/// in time. Returns the hosts to declare dead.
std::vector<host_id> tick_probing(control_state& state, monotonic_time now, effects& out);

/// Answers pings, pings suspected hosts on behalf of others, and counts the message as a sign of
/// life of its sender.
void handle_probe_message(control_state& state, const event& e, const gossip_message& message,
                          const endpoint& peer, effects& out);

} // namespace almondquay
