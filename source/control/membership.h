#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Who is alive, by beat counters passed on between hosts.
namespace almondquay {

/// A host of the own failure domain is taken for dead after this time without a newer beat. The
/// budget for gossip is fixed, so beats of larger domains come less often.
constexpr std::chrono::milliseconds near_timeout(std::size_t hosts_in_domain)
{
    constexpr std::chrono::milliseconds shortest{2'000};
    constexpr std::chrono::milliseconds for_each_host{800};
    return shortest + for_each_host * hosts_in_domain;
}

/// The same for hosts of other failure domains, whose beats travel over more hosts.
constexpr std::chrono::milliseconds far_timeout(std::size_t hosts_in_fleet)
{
    constexpr std::chrono::milliseconds shortest{1'000};
    constexpr std::chrono::milliseconds for_each_host{1'500};
    return shortest + for_each_host * hosts_in_fleet;
}

/// Two ticks further apart mean that this process was paused, not that all others are dead.
constexpr std::chrono::milliseconds pause_threshold{1'000};

/// What a host sends in gossip, headers included; it receives as much on average. Together with
/// the rest of the control traffic this stays below 2 KB/s at any size of the fleet.
constexpr double gossip_bytes_per_second = 800;

/// Counts the own beat, marks silent hosts as dead and sends gossip.
void tick_membership(control_state& state, const event& e, effects& out);

/// Takes over newer beats and notices a newer configuration.
void take_gossip(control_state& state, const event& e, const gossip_message& message, effects& out);

/// Tells the near hosts, or all hosts of a small fleet, what is in force and known, at once.
void announce(control_state& state, effects& out);

/// What this host tells of itself: what it has, and its own beat.
gossip_message make_message(const control_state& state);

/// Tells these hosts what is in force and known.
void tell(control_state& state, const std::vector<const host*>& hosts, effects& out);

/// Live hosts that are not leaving, this one included while it serves.
std::set<host_id> live_hosts(const control_state& state);

} // namespace almondquay
