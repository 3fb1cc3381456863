#pragma once

#include "traffic/forward.h"

/// Log lines about requests: one for each attempt and each end that was not a success, and for some
/// of the successes. Their number a second is bounded; lines dropped are counted and logged.
namespace almondquay {

/// Where a request is sent and why there; only for the requests whose success is logged.
void log_placement(worker& w, const caller_request& request, const placement& chosen);

/// An attempt at a target that did not end in success.
void log_attempt(worker& w, const caller_request& request, const slot& used, const forward_end& end,
                 std::chrono::steady_clock::duration took);

/// The end of a request.
void log_end(worker& w, const caller_request& request, const forward_end& end);

} // namespace almondquay
