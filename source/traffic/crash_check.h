#pragma once

#include "traffic/forward.h"
#include "traffic/worker.h"

/// Finds out whether a request has crashed its target, so that it may be quarantined.
namespace almondquay {

/// If the connection closed without a response, tests whether this request crashed the target. A
/// suspected request that is served is cleared.
void check_for_crash(worker& w, const caller_request& request, const slot& used,
                     const forward_result& end);

} // namespace almondquay
