#pragma once

#include "config/process_settings.h"

#include <string_view>
#include <vector>

/// The listening addresses of a host's traffic threads.
namespace almondquay {

/// What is served at a listening address. A path has a meaning only at an address that serves it.
enum class listener_role {
    callers,             ///< all requests are routed
    callers_and_lookups, ///< the look-up path is reserved, all other requests are routed
    lookups,             ///< look-ups only; nothing is routed
    readiness,           ///< readiness checks only; nothing is routed
};

/// Whether requests that arrive at such a listener are routed.
constexpr bool routes_requests(listener_role role)
{
    return role == listener_role::callers || role == listener_role::callers_and_lookups;
}

struct listener {
    endpoint at;
    listener_role role = listener_role::callers;
};

/// The listeners that the settings ask for. With the project's own store, look-ups without an
/// address of their own are served at the callers' address; on the users' platform, the callers'
/// address reserves no path.
std::vector<listener> listeners_of(const process_settings& settings);

} // namespace almondquay
