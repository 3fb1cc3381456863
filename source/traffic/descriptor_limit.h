#pragma once

#include "traffic/listener.h"

/// Divides the file descriptors of the process among the kinds of its connections.
namespace almondquay {

/// The kernel hands out the lowest free number, so a descriptor at or above a limit shows that this
/// many are open. Connections of each kind have numbers below its limit.
struct descriptor_limits {
    int callers = 0;
    int lookups = 0; ///< at an address of their own
    int targets = 0;
};

/// How a process divides `all` descriptors. Each kind leaves some to those after it, and targets
/// some to readiness checks, peers and the store.
descriptor_limits limits_of(int all);

/// The limits of this process, from its resource limit (RLIMIT_NOFILE) at the time of the call.
descriptor_limits limits_of_process();

/// The limit for connections that a listener with this role accepts.
int limit_for(const descriptor_limits& limits, listener_role role);

} // namespace almondquay
