#pragma once

#include "traffic/forward.h"

/// Log lines about requests: one for each attempt, refusal and end that was not a success, and for
/// some of the successes. Their number a second is bounded; failures dropped are counted and
/// logged.
namespace almondquay {

/// Where a request is sent and why there; only for the requests whose success is logged.
void log_placement(worker& w, const caller_request& request, const placement& chosen);

/// An attempt at a target that did not end in success.
void log_attempt(worker& w, const caller_request& request, const slot& used, const forward_end& end,
                 std::chrono::steady_clock::duration took);

/// A request that no target could answer in time, with what was predicted.
void log_placement_refused(worker& w, const caller_request& request, const placement& chosen,
                           const placement_wish& wish);

/// A request that was refused, or whose caller left, before its route was known or its body was
/// read.
void log_refused(worker& w, const std::string& request, result_code code);

/// The end of a request.
void log_end(worker& w, const caller_request& request, const forward_end& end);

} // namespace almondquay
