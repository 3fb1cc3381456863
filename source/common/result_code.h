#pragma once

#include <cstdint>
#include <span>
#include <string_view>

/// The result codes used in all programs, HTTP headers and log lines of the project.
namespace almondquay {

/// One number for each way an operation can end. The thousands digit is the area:
/// 1 configuration and settings, 2 platform, 3 caller requests, 4 idempotency keys and the claims
/// on them, 5 peers, 6 command line.
/// docs/RESULT_CODES.md lists them; a unit test checks that the page matches this list.
enum class result_code : std::uint16_t {
    ok = 0,

    text_unreadable = 1001,
    text_syntax = 1002,
    line_too_long = 1003,
    unknown_section = 1004,
    unknown_key = 1005,
    missing_key = 1006,
    missing_section = 1007,
    bad_value = 1008,
    duplicate_name = 1009,
    unknown_reference = 1010,
    dependency_cycle = 1011,
    address_in_use = 1012,
    limit_exceeded = 1013,

    platform_unavailable = 2001,
    platform_answer_lost = 2002,
    platform_not_found = 2003,
    platform_conflict = 2004,
    platform_rate_limited = 2005,
    platform_bad_answer = 2006,
    platform_history_lost = 2007,

    request_malformed = 3001,
    request_header_too_large = 3002,
    request_body_too_large = 3003,
    request_too_slow = 3004,
    service_unknown = 3005,
    no_live_target = 3006,
    no_free_slot = 3007,
    deadline_passed = 3008,
    target_unreachable = 3009,
    target_answer_lost = 3010,
    target_answer_malformed = 3011,
    host_leaving = 3012,
    host_not_ready = 3013,
    too_many_connections = 3014,
    caller_gone = 3015,
    target_shed = 3016,
    retry_budget_spent = 3017,
    request_quarantined = 3018,
    route_unknown = 3019,
    overloaded = 3020,
    target_failed = 3021,
    target_replaced = 3022,
    target_withdrawn = 3023,
    targets_limited = 3024,
    transfer_coding_unknown = 3025,
    path_unknown = 3026,
    method_not_allowed = 3027,

    key_missing = 4001,
    key_malformed = 4002,
    key_too_old = 4003,
    key_from_future = 4004,
    key_reused = 4005,
    claim_still_running = 4006,
    claim_outcome_unknown = 4007,
    claim_store_unavailable = 4008,
    claim_store_full = 4009,
    claim_answer_not_kept = 4010,

    peer_unreachable = 5001,
    peer_answer_lost = 5002,
    peer_unauthenticated = 5003,
    peer_message_malformed = 5004,

    usage_error = 6001,
    no_host_answered = 6002,
    fleet_disagrees = 6003,
    decision_unknown = 6004,
    platform_behind_fleet = 6005,
    request_not_logged = 6006,
    host_not_logged = 6007,
};

struct result_code_row {
    result_code code;
    std::string_view name;
    std::string_view meaning;
};

/// All rows, ordered by code.
std::span<const result_code_row> result_code_table();

/// The name of `code` as it is written in headers and logs, such as "no_free_slot".
std::string_view name_of(result_code code);

/// The one-sentence description of `code` that is shown to operators and callers.
std::string_view meaning_of(result_code code);

/// The exit status of a command that ended with `code`: 0 for ok, else the area digit, so that
/// scripts can tell an invalid configuration (1) from an unreachable platform (2).
int exit_status_of(result_code code);

} // namespace almondquay
