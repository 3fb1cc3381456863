#include "logging/event_schema.h"

#include <array>

namespace almondquay::log {

namespace {

constexpr auto rows = std::to_array<event_row>({
    {"request_refused", "generation request result", false,
     "A request was refused, or its caller disconnected, before its route was known or its body "
     "was read."},
    {"placed",
     "handed_over in_flight mean_queue position predicted_wait_ms report_age_ms request target",
     false, "Target chosen for a sampled request, with the load data behind the choice."},
    {"placement_refused",
     "left_ms mean_queue objective_ms predicted_wait_ms report_age_ms request service target "
     "work_ms",
     false, "No target was predicted to answer in time; the best candidate and its predictions."},
    {"route_trial", "left_ms request route work_ms", false,
     "A request is sent although the time that requests of its route are estimated to take exceeds "
     "what it has left, since no other request could correct the estimate."},
    {"held_back", "leaving limited paused request retry_after_ms service", false,
     "A request was refused since targets are leaving, want a pause or have no permit to give; how "
     "many of each."},
    {"target_statement", "ignored leaving life limit pause_ms target", false,
     "What a target states about itself changed: its limit (empty: none), that it is leaving, or "
     "the "
     "pause that it wants; `ignored` is a header whose value is malformed."},
    {"permit_denied", "life limit limit_age_ms request retry_after_ms service target", false,
     "A request was not sent to a target that has named a limit; another target is tried."},
    {"attempt_failed",
     "generation in_flight outcome report_age_ms request result service target took_ms waiting",
     false, "An attempt to send a request to a target failed."},
    {"request_ended",
     "generation left_ms outcome request result retry_after_ms route service took_ms", false,
     "A request ended without success, or is one of the sampled successes."},
    {"log_lines_dropped", "lines", false,
     "Lines about failures that the rate limit dropped in the last second."},
    {"log_output_behind", "lines", false,
     "Lines dropped because the reader of standard output was too slow."},
    {"log_output_may_wait", "why", false,
     "Standard output cannot be set to non-blocking mode; logging may block."},
    {"descriptor_limit_unknown", "why", false,
     "The limit of file descriptors cannot be read; none are reserved."},
    {"started", "callers lookups peers readiness", false,
     "The process accepts connections; an address is none if nothing is served there."},
    {"cannot_start", "why", false, "The process failed to start and exits."},
    {"settings_reloaded", "log_level seeds why", false, "The settings file was reloaded."},
    {"settings_unchanged", "why", false, "The settings file was reloaded without changes."},
    {"settings_refused", "finding why", false,
     "The settings file is invalid; the previous settings remain active."},
    {"still_stopping", "running_requests waiting_for", false,
     "A further stop signal arrived during shutdown; what the shutdown is waiting for."},
    {"handler_failed", "dropped why work", false,
     "An exception ended one piece of work, such as a connection; `dropped` is how many such lines "
     "were left out in the second before."},
    {"stopped", "", false, "The process exits."},
    {"start_serving", "platform", true,
     "The host has the data it needs and starts to serve requests."},
    {"leave", "grace_ms", true,
     "The host leaves: it is removed from look-ups but still serves requests."},
    {"stop_traffic", "", true, "The host accepts no new requests."},
    {"exit", "", true, "The last request has ended and the process exits."},
    {"store_answers", "away_ms why", true,
     "The store answers again; `away_ms` is how long it did not."},
    {"store_away", "away_ms why", true,
     "The store does not answer; the last known state remains active."},
    {"ask_store", "follow list since wait_ms", false, "A query to the store (level debug)."},
    {"ask_peer", "peer", false,
     "A query to another host for its copy of the store's lists (level debug)."},
    {"host_not_removed", "host why", false,
     "The entry of a host that has been dead for long could not be removed from the store."},
    {"store_era", "era era_before revisions_before source", true,
     "The store has returned from an older copy of itself; its lists are read anew and stay in "
     "force until then."},
    {"store_era_missing", "era stated", true,
     "An answer of the store states no era that can be read; it counts as one of the known era."},
    {"list_read", "dropped entries list revision revision_before", true,
     "A list of the store was read completely; how many known entries it no longer contains."},
    {"list_copied", "entries list peer revision revision_before", true,
     "A whole list was copied from another host."},
    {"copy_mismatch", "list peer revision", true,
     "Changes of a list from another host did not lead to its content; the whole list is "
     "requested."},
    {"ignore_entry", "why", true, "A malformed entry of the store is ignored."},
    {"restore_platform", "in_force", true,
     "The store's configuration is older than the active one, which is written back to it."},
    {"copy_received", "bytes peer result took_ms what", false,
     "A copy of the configuration or of lists, or of changes of them, came from another host."},
    {"control_busy", "took_ms work", false,
     "The control thread was busy with `work` for long, or a tick came late; other work waited."},
    {"adopt_fleet", "before bytes change changed_by heard_ms_ago parts source", true,
     "A configuration was activated; `heard_ms_ago` is how long another host was known to have "
     "it."},
    {"refuse_change", "since source why", true,
     "A change of the configuration from another host cannot be decoded or does not fit."},
    {"refuse_fleet", "changed_by findings first_finding", true,
     "A configuration is invalid and was not activated."},
    {"fleet_conflict", "seen_at", true,
     "Two configurations have the same generation; the first remains active."},
    {"target_listed", "cold_ms leaving life target", true,
     "The store added a target, or reports that it is leaving or has restarted."},
    {"target_gone", "target", true, "A target is no longer listed."},
    {"eject_target", "failures latest target", true,
     "A target is excluded after failed requests of this host."},
    {"readmit_target", "good_probes target", true,
     "An ejected target answers health probes and receives requests again."},
    {"leave_out_target", "refused target", true,
     "A target is excluded because it refused a connection of this or another host of the region."},
    {"try_target_again", "target", true, "An excluded target may receive requests again."},
    {"evacuate", "failure_domain", true, "Targets of a failure domain receive no new requests."},
    {"evacuation_over", "failure_domain", true,
     "Targets of a failure domain receive requests again."},
    {"host_alive", "host incarnation", true,
     "Another host has joined, has returned or announces that it is leaving."},
    {"host_dead", "host incarnation silence_ms", true, "Another host is considered dead."},
    {"quarantine_request", "crashes fingerprint", true,
     "A request that was in flight during crashes of several targets is refused."},
    {"release_request", "fingerprint", true, "A request is no longer refused."},
});

} // namespace

std::span<const event_row> event_schema()
{
    return rows;
}

} // namespace almondquay::log
