#include "logging/event_schema.h"

#include <array>

namespace almondquay::log {

namespace {

constexpr auto rows = std::to_array<event_row>({
    {"request_refused", "generation request result", false,
     "A request was refused, or its caller left, before its route was known or its body was read."},
    {"placed",
     "handed_over in_flight mean_queue position predicted_wait_ms report_age_ms request target",
     false, "Where a sampled request is sent, and why there."},
    {"placement_refused",
     "left_ms mean_queue objective_ms predicted_wait_ms report_age_ms request service target "
     "work_ms",
     false, "No target could answer in time; the best one, with what was predicted."},
    {"attempt_failed",
     "generation in_flight outcome report_age_ms request result service target took_ms waiting",
     false, "An attempt at a target did not succeed."},
    {"request_ended",
     "generation left_ms outcome request result retry_after_ms route service took_ms", false,
     "A request ended without success, or is one of the sampled successes."},
    {"log_lines_dropped", "lines", false,
     "Lines about failures that had no room in the last second."},
    {"log_output_behind", "lines", false,
     "Lines that the reader of standard output had no room for."},
    {"log_output_may_wait", "why", false, "Standard output cannot be written without waiting."},
    {"started", "callers peers", false, "The process takes connections."},
    {"cannot_start", "why", false, "The process ends at once."},
    {"settings_reloaded", "log_level seeds why", false, "The settings file was read again."},
    {"settings_unchanged", "why", false, "The settings file was read again and is as it was."},
    {"settings_refused", "finding why", false,
     "The settings file has findings; the former settings stay."},
    {"still_stopping", "running_requests waiting_for", false,
     "A stop takes long; what it waits for."},
    {"stopped", "", false, "The process ends."},
    {"start_serving", "platform", true, "The host knows enough to serve."},
    {"leave", "grace_ms", true, "The host leaves: it vanishes from look-ups and still serves."},
    {"stop_traffic", "", true, "The host takes no new requests."},
    {"exit", "", true, "The last request has ended."},
    {"store_answers", "away_ms why", true, "The store answers again; how long it was away."},
    {"store_away", "away_ms why", true, "The store does not answer; what is known stays in force."},
    {"ask_store", "follow list since wait_ms", false, "A question to the store (level debug)."},
    {"ask_peer", "peer", false,
     "A question to another host about the store's lists (level debug)."},
    {"host_not_removed", "host why", false,
     "The entry of a host that is long dead could not be removed from the store."},
    {"ignore_entry", "why", true, "An entry of the store cannot be read."},
    {"restore_platform", "in_force", true,
     "The store gets back a newer configuration than it has."},
    {"adopt_fleet", "before change changed_by source", true, "A configuration is in force."},
    {"refuse_fleet", "changed_by findings first_finding", true,
     "A configuration has findings and is not put in force."},
    {"fleet_conflict", "seen_at", true, "Two configurations have one generation; the first stays."},
    {"target_listed", "cold_ms leaving life target", true,
     "The store lists a target, or tells that it leaves or has restarted."},
    {"target_gone", "target", true, "A target is no longer listed."},
    {"eject_target", "failures latest target", true,
     "A target gets no work after failures of this host's own."},
    {"readmit_target", "good_probes target", true,
     "An ejected target answers probes and gets work again."},
    {"leave_out_target", "refused target", true,
     "A target refused a connection of this or another host of the region."},
    {"try_target_again", "target", true, "A target that was left out may get work again."},
    {"evacuate", "failure_domain", true, "Targets of a failure domain get nothing new."},
    {"evacuation_over", "failure_domain", true, "Targets of a failure domain get work again."},
    {"host_alive", "host incarnation", true,
     "Another host has joined, returned or says that it leaves."},
    {"host_dead", "host incarnation silence_ms", true, "Another host is taken for dead."},
    {"quarantine_request", "crashes fingerprint", true,
     "A request that was in flight at several crashes is refused."},
    {"release_request", "fingerprint", true, "A request is no longer refused."},
});

} // namespace

std::span<const event_row> event_schema()
{
    return rows;
}

} // namespace almondquay::log
