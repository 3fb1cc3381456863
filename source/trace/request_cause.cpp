#include "trace/request_cause.h"

#include "common/result_code.h"

#include <algorithm>
#include <array>

namespace almondquay {

namespace {

using enum result_code;

bool is_end(const log_line& line)
{
    return line.event == "request_ended" || line.event == "request_refused";
}

/// Whether a line explains why a request ended with this result.
bool explains_result(const log_line& line, std::string_view result)
{
    if (line.event == "attempt_failed") {
        return field_of(line, "result") == result;
    }
    return (line.event == "placement_refused" && result == name_of(overloaded)) ||
           ((line.event == "permit_denied" || line.event == "held_back") &&
            result == name_of(targets_limited));
}

std::string text_of(std::string_view value)
{
    return std::string(value);
}

std::string milliseconds_text(std::string_view value)
{
    return text_of(value) + " ms";
}

const log_line* last_end(const std::vector<log_line>& lines)
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(), is_end);
    return found == lines.rend() ? nullptr : &*found;
}

/// The attempt that caused the result. It need not be the last one: if an earlier attempt may have
/// run, a later one that did not run does not change the outcome.
const log_line* decisive_attempt(const request_trace& trace, const log_line& end)
{
    const auto result = field_of(end, "result");
    const auto found =
        std::find_if(trace.lines.rbegin(), trace.lines.rend(), [&](const log_line& line) {
            return line.process == end.process && explains_result(line, result);
        });
    return found == trace.lines.rend() ? nullptr : &*found;
}

/// The host's first decision about the target after an attempt; it reveals a crash of the target.
const log_line* next_decision_about_target(const request_trace& trace, const log_line& attempt)
{
    constexpr std::array kinds{"target_gone", "target_listed", "eject_target", "leave_out_target"};
    const auto found = std::ranges::find_if(trace.context, [&](const log_line& line) {
        return line.process == attempt.process && line.time >= attempt.time &&
               input_of(line, "target") == field_of(attempt, "target") &&
               std::ranges::find(kinds, line.event) != kinds.end();
    });
    return found == trace.context.end() ? nullptr : &*found;
}

/// The same host's latest decision of one of these kinds before a line.
const log_line* latest_before(const request_trace& trace, const log_line& line,
                              std::initializer_list<std::string_view> kinds)
{
    const log_line* latest = nullptr;
    for (const auto& c : trace.context) {
        if (c.process == line.process && c.time <= line.time &&
            std::ranges::find(kinds, c.event) != kinds.end()) {
            latest = &c;
        }
    }
    return latest;
}

std::string later_decision_text(const request_trace& trace, const log_line& attempt)
{
    const auto* next = next_decision_about_target(trace, attempt);
    if (next == nullptr) {
        return "";
    }
    const auto later =
        std::chrono::duration_cast<std::chrono::milliseconds>(next->time - attempt.time);
    return " " + std::to_string(later.count()) +
           " ms later: " + text_of(field_of(*next, "summary"));
}

/// Reports lost contact with the store, since the host may then act on outdated data.
std::string store_text(const request_trace& trace, const log_line& line)
{
    const auto* latest = latest_before(trace, line, {"store_away", "store_answers"});
    const bool is_away = latest != nullptr && latest->event == "store_away";
    return is_away ? " The host had been unable to reach the store since " + latest->time_text + "."
                   : "";
}

std::string overload_text(const log_line& a)
{
    const auto age = field_of(a, "report_age_ms");
    const std::string load =
        age.empty() ? "there was no report of its load"
                    : "the latest report of its load was " + milliseconds_text(age) + " old";
    return "No target could answer in time: at " + text_of(field_of(a, "target")) +
           " a queueing time of " + milliseconds_text(field_of(a, "predicted_wait_ms")) +
           " and a service time of " + milliseconds_text(field_of(a, "work_ms")) +
           " were predicted, and " + milliseconds_text(field_of(a, "left_ms")) + " were left; " +
           load + ".";
}

std::string shed_text(const log_line& a)
{
    return "Target " + text_of(field_of(a, "target")) +
           " shed the request without running it, after " +
           milliseconds_text(field_of(a, "took_ms")) + "; its latest report had " +
           text_of(field_of(a, "waiting")) + " requests waiting.";
}

std::string attempt_text(const request_trace& trace, std::string_view result, const log_line& a)
{
    const auto target = "Target " + text_of(field_of(a, "target"));
    const auto took = milliseconds_text(field_of(a, "took_ms"));
    if (result == name_of(overloaded)) {
        return overload_text(a);
    }
    if (a.event == "held_back") {
        return "No target takes the request now: " + text_of(field_of(a, "paused")) +
               " have asked for a pause, " + text_of(field_of(a, "limited")) +
               " have reached the limit that they have named, and " +
               text_of(field_of(a, "leaving")) + " are leaving; the next one was due in " +
               milliseconds_text(field_of(a, "retry_after_ms")) + ".";
    }
    if (result == name_of(targets_limited)) {
        return target + " takes " + text_of(field_of(a, "limit")) +
               " requests a second from all hosts together, and its next one was due in " +
               milliseconds_text(field_of(a, "retry_after_ms")) + "; no other target had room.";
    }
    if (result == name_of(target_shed)) {
        return shed_text(a);
    }
    if (result == name_of(deadline_passed)) {
        return target + " did not answer within " + took + "." + later_decision_text(trace, a);
    }
    if (result == name_of(target_unreachable)) {
        return target + " did not accept the connection." + later_decision_text(trace, a) +
               store_text(trace, a);
    }
    if (result == name_of(target_answer_lost)) {
        return target + " closed the connection after " + took + " without a complete answer." +
               later_decision_text(trace, a);
    }
    if (result == name_of(target_answer_malformed)) {
        return target + " sent a malformed answer after " + took + ".";
    }
    if (result == name_of(target_failed)) {
        return target + " answered with an error of its own after " + took + ".";
    }
    if (result == name_of(target_replaced)) {
        return "Another target had taken the address of target " + text_of(field_of(a, "target")) +
               "." + store_text(trace, a);
    }
    if (result == name_of(target_withdrawn)) {
        return target + " was withdrawn while the connection was made.";
    }
    if (result == name_of(caller_gone)) {
        return "The caller disconnected while target " + text_of(field_of(a, "target")) +
               " was handling the request, after " + took + ".";
    }
    return target + " failed the request after " + took + ".";
}

result_code code_named(std::string_view name)
{
    const auto table = result_code_table();
    const auto found = std::ranges::find(table, name, &result_code_row::name);
    return found == table.end() ? ok : found->code;
}

std::string refusal_text(const request_trace& trace, const log_line& end, result_code code)
{
    if (code == request_quarantined) {
        const auto* decided = latest_before(trace, end, {"quarantine_request"});
        return decided == nullptr ? text_of(meaning_of(code))
                                  : text_of(field_of(*decided, "summary"));
    }
    if (code == host_not_ready) {
        const auto* started = latest_before(trace, end, {"started", "start_serving"});
        return text_of(meaning_of(code)) +
               (started == nullptr ? "" : " The host had started at " + started->time_text + ".") +
               store_text(trace, end);
    }
    if (code == caller_gone) {
        return "The caller disconnected before the request was sent to a target.";
    }
    return text_of(meaning_of(code)) + store_text(trace, end);
}

std::string dropped_text(const request_trace& trace)
{
    std::string text = "No log line has this request id.";
    for (const auto& [host, lines] : trace.dropped) {
        text += " " + host + " dropped " + std::to_string(lines) + " log lines about failures.";
    }
    return text;
}

/// The number of failed attempts other than the decisive one.
std::string other_failures_text(const request_trace& trace, const log_line* decisive)
{
    const auto failed = std::ranges::count_if(trace.lines, [&](const log_line& line) {
        return line.event == "attempt_failed" && &line != decisive;
    });
    if (failed == 0) {
        return "";
    }
    const std::string_view other = decisive == nullptr ? "" : "other ";
    return " " + std::to_string(failed) + " " + std::string(other) +
           (failed == 1 ? "attempt failed." : "attempts failed.");
}

} // namespace

request_cause find_cause(const request_trace& trace)
{
    request_cause cause;
    if (trace.lines.empty()) {
        cause.text = dropped_text(trace);
        return cause;
    }
    const auto* end = last_end(trace.lines);
    const auto& last = end != nullptr ? *end : trace.lines.back();
    cause.host = last.process;
    cause.result = text_of(field_of(last, "result"));
    cause.outcome = text_of(field_of(last, "outcome"));
    if (end == nullptr) {
        cause.result.clear();
        cause.text = "The logs do not show how the request ended; its last line was logged at " +
                     last.time_text + " by host " + last.process + ".";
        return cause;
    }
    const auto code = code_named(cause.result);
    if (code == ok) {
        cause.text = "The request succeeded." + other_failures_text(trace, nullptr);
        return cause;
    }
    if (const auto* attempt = decisive_attempt(trace, *end); attempt != nullptr) {
        cause.target = text_of(field_of(*attempt, "target"));
        cause.text =
            attempt_text(trace, cause.result, *attempt) + other_failures_text(trace, attempt);
    } else {
        cause.text = refusal_text(trace, *end, code) + other_failures_text(trace, nullptr);
    }
    return cause;
}

} // namespace almondquay
