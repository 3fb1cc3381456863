#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Failure detection by heartbeat counters that hosts spread by gossip.
namespace almondquay {

/// A host of the same failure domain is declared dead after this time without a newer heartbeat.
/// The gossip budget is fixed, so heartbeats arrive less often in larger domains.
constexpr std::chrono::milliseconds near_timeout(std::size_t hosts_in_domain)
{
    constexpr std::chrono::milliseconds shortest{2'000};
    constexpr std::chrono::milliseconds for_each_host{800};
    return shortest + for_each_host * hosts_in_domain;
}

/// The same for hosts of other failure domains, whose heartbeats pass through more hosts.
constexpr std::chrono::milliseconds far_timeout(std::size_t hosts_in_fleet)
{
    constexpr std::chrono::milliseconds shortest{1'000};
    constexpr std::chrono::milliseconds for_each_host{1'500};
    return shortest + for_each_host * hosts_in_fleet;
}

/// A larger gap between two ticks means that this process was paused, not that all others are dead.
constexpr std::chrono::milliseconds pause_threshold{1'000};

/// Gossip bandwidth that a host sends, headers included; it receives the same on average. Together
/// with the rest of the control traffic this stays below 2 KB/s for any fleet size.
constexpr double gossip_bytes_per_second = 800;

/// Increments the host's own heartbeat, declares silent hosts dead and sends gossip.
void tick_membership(control_state& state, const event& e, effects& out);

/// Merges newer heartbeats and fetches what the sender has newer, such as its configuration.
void handle_gossip(control_state& state, const event& e, const gossip_message& message,
                   effects& out);

/// Sends the host's generation, inventory revisions and latest changes immediately to the near
/// hosts or, in a small fleet, to all hosts.
void announce(control_state& state, effects& out);

/// A gossip message with the host's generation, inventory revisions and own heartbeat.
gossip_message make_message(const control_state& state);

/// Sends the host's generation and inventory revisions to the given hosts.
void send_state(control_state& state, const std::vector<const host*>& hosts, effects& out);

/// Live hosts that are neither starting nor leaving, including this one while it serves.
std::set<host_id> live_hosts(const control_state& state);

} // namespace almondquay
