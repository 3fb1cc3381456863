#pragma once

#include "traffic/forward.h"

/// Request logging: one line for each failed attempt, refusal and failed request, and for a sample
/// of the successful requests. The number of lines per second is limited; dropped lines about
/// failures are counted and the count is logged.
namespace almondquay {

/// Logs the target chosen for a request and the values behind the choice; only for sampled
/// requests.
void log_placement(worker& w, const caller_request& request, const placement& chosen);

/// Logs a failed attempt at a target.
void log_attempt(worker& w, const caller_request& request, const slot& used,
                 const forward_result& end, std::chrono::steady_clock::duration took);

/// Logs a request that no target could serve in time, with the predicted times.
void log_placement_refused(worker& w, const caller_request& request, const placement& chosen,
                           const placement_criteria& criteria);

/// Logs that a request is sent to check the estimate of its route.
void log_trial(worker& w, const caller_request& request, const placement_criteria& criteria);

/// Logs that a target's statement about itself changed, or that one of its headers was ignored.
void log_statement(worker& w, const target_id& target, incarnation life,
                   const std::optional<target_statement>& changed, std::string_view malformed);

/// Logs that a request was refused because of what its targets state about themselves.
void log_held_back(worker& w, const caller_request& request, const placement& refused);

/// Logs that a request was not sent to a target that has named a limit.
void log_permit_denied(worker& w, const caller_request& request, const target_route& target,
                       double limit, std::chrono::milliseconds retry_after);

/// Logs a request that was refused, or whose caller disconnected, before its route was known or its
/// body was read.
void log_refused(worker& w, const std::string& request, result_code code);

/// Logs the end of a request.
void log_end(worker& w, const caller_request& request, const forward_result& end);

} // namespace almondquay
