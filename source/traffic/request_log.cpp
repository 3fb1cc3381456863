#include "traffic/request_log.h"

#include "logging/log.h"

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;

/// Per traffic thread. Successes have a separate, lower limit, so that they never displace
/// failures.
constexpr unsigned failure_lines_per_second = 60;
constexpr unsigned success_lines_per_second = 20;

enum class line_kind { success, failure };

std::string milliseconds_text(clock::duration d)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

/// Counts a line of this kind. Returns false if the limit for this second has been reached.
bool take_line(worker& w, line_kind kind)
{
    const auto now = clock::now();
    if (now - w.log_window_start >= std::chrono::seconds(1)) {
        if (w.log_lines_dropped != 0) {
            log::write(log::level::warning, "log_lines_dropped",
                       {{"lines", std::to_string(w.log_lines_dropped)}});
        }
        w.log_window_start = now;
        w.failure_lines = 0;
        w.success_lines = 0;
        w.log_lines_dropped = 0;
    }
    const bool is_failure = kind == line_kind::failure;
    auto& lines = is_failure ? w.failure_lines : w.success_lines;
    if (lines >= (is_failure ? failure_lines_per_second : success_lines_per_second)) {
        w.log_lines_dropped += is_failure ? 1 : 0;
        return false;
    }
    ++lines;
    return true;
}

/// The age of a target's latest load report in milliseconds; empty if there is none.
std::string age_text(const target_load& load, clock::time_point now)
{
    return load.reported == clock::time_point{} ? "" : milliseconds_text(now - load.reported);
}

std::string generation_of(const caller_request& request)
{
    return request.snapshot ? std::to_string(request.snapshot->in_force.value) : "0";
}

} // namespace

void log_placement(worker& w, const caller_request& request, const placement& chosen)
{
    if (!request.is_sampled || !take_line(w, line_kind::success)) {
        return;
    }
    const auto& load = w.loads[chosen.target->id];
    const auto now = clock::now();
    log::write(log::level::info, "placed",
               {{"request", request.id},
                {"target", chosen.target->id.value},
                {"position", std::to_string(chosen.position)},
                {"predicted_wait_ms", std::to_string(chosen.wait.count())},
                {"in_flight", std::to_string(load.in_flight)},
                {"mean_queue", std::to_string(load.waiting_mean)},
                {"report_age_ms", age_text(load, now)},
                {"handed_over", std::to_string(handed_over_share(load, now))}});
}

void log_attempt(worker& w, const caller_request& request, const slot& used,
                 const forward_result& end, clock::duration took)
{
    if (end.code == result_code::ok || !take_line(w, line_kind::failure)) {
        return;
    }
    const auto load = w.loads.find(used.target);
    const auto known = load == w.loads.end() ? target_load() : load->second;
    const auto now = clock::now();
    log::write(log::level::info, "attempt_failed",
               {{"request", request.id},
                {"service", request.service},
                {"target", used.target.value},
                {"result", std::string(name_of(end.code))},
                {"outcome", std::string(name_of(end.request_outcome))},
                {"took_ms", milliseconds_text(took)},
                {"in_flight", std::to_string(known.in_flight)},
                {"waiting", std::to_string(known.waiting)},
                {"report_age_ms", age_text(known, now)},
                {"generation", generation_of(request)}});
}

void log_placement_refused(worker& w, const caller_request& request, const placement& chosen,
                           const placement_criteria& criteria)
{
    if (!take_line(w, line_kind::failure)) {
        return;
    }
    const auto load = w.loads.find(chosen.target->id);
    const auto known = load == w.loads.end() ? target_load() : load->second;
    log::write(log::level::info, "placement_refused",
               {{"request", request.id},
                {"service", request.service},
                {"target", chosen.target->id.value},
                {"predicted_wait_ms", std::to_string(chosen.wait.count())},
                {"work_ms", std::to_string(criteria.work.count())},
                {"objective_ms", std::to_string(criteria.objective.count())},
                {"left_ms", std::to_string(criteria.time_left.count())},
                {"mean_queue", std::to_string(known.waiting_mean)},
                {"report_age_ms", age_text(known, clock::now())}});
}

void log_trial(worker& w, const caller_request& request, const placement_criteria& criteria)
{
    if (!take_line(w, line_kind::failure)) {
        return;
    }
    log::write(log::level::info, "route_trial",
               {{"request", request.id},
                {"route", request.rule->id.value},
                {"work_ms", std::to_string(criteria.work.count())},
                {"left_ms", std::to_string(criteria.time_left.count())}});
}

void log_statement(worker& w, const target_id& target, incarnation life,
                   const std::optional<target_statement>& changed, std::string_view malformed)
{
    if (!take_line(w, line_kind::failure)) {
        return;
    }
    const bool is_limited = changed && changed->limit;
    const auto pause = changed ? std::max(changed->paused_until - clock::now(), clock::duration{})
                               : clock::duration{};
    log::write(log::level::info, "target_statement",
               {{"target", target.value},
                {"life", std::to_string(life.value)},
                {"limit", is_limited ? std::to_string(*changed->limit) : ""},
                {"leaving", changed && changed->is_leaving ? "yes" : "no"},
                {"pause_ms", milliseconds_text(pause)},
                {"ignored", std::string(malformed)}});
}

void log_held_back(worker& w, const caller_request& request, const placement& refused)
{
    const auto* reason = refused.paused != 0 ? "pause" : refused.limited != 0 ? "limit" : "leaving";
    w.context.metrics->add({"requests_held_back_total", request.service, reason});
    if (!take_line(w, line_kind::failure)) {
        return;
    }
    log::write(log::level::info, "held_back",
               {{"request", request.id},
                {"service", request.service},
                {"limited", std::to_string(refused.limited)},
                {"paused", std::to_string(refused.paused)},
                {"leaving", std::to_string(refused.leaving)},
                {"retry_after_ms", std::to_string(refused.next_due.count())}});
}

void log_permit_denied(worker& w, const caller_request& request, const target_route& target,
                       double limit, std::chrono::milliseconds retry_after)
{
    w.context.metrics->add({"requests_held_back_total", request.service, "limit"});
    if (!take_line(w, line_kind::failure)) {
        return;
    }
    const auto statements = w.context.statements->current();
    const auto* statement = find_statement(*statements, target);
    const auto age =
        statement == nullptr ? clock::duration{} : clock::now() - statement->limited_since;
    log::write(log::level::info, "permit_denied",
               {{"request", request.id},
                {"service", request.service},
                {"target", target.id.value},
                {"life", std::to_string(target.life.value)},
                {"limit", std::to_string(limit)},
                {"limit_age_ms", milliseconds_text(age)},
                {"retry_after_ms", std::to_string(retry_after.count())}});
}

void log_refused(worker& w, const std::string& request, result_code code)
{
    if (!take_line(w, line_kind::failure)) {
        return;
    }
    log::write(log::level::info, "request_refused",
               {{"request", request},
                {"result", std::string(name_of(code))},
                {"generation", std::to_string(w.snapshot ? w.snapshot->in_force.value : 0)}});
}

void log_end(worker& w, const caller_request& request, const forward_result& end)
{
    const bool is_success = end.code == result_code::ok;
    if (is_success && !request.is_sampled) {
        return;
    }
    if (!take_line(w, is_success ? line_kind::success : line_kind::failure)) {
        return;
    }
    const auto now = clock::now();
    log::write(log::level::info, "request_ended",
               {{"request", request.id},
                {"route", request.rule != nullptr ? request.rule->id.value : ""},
                {"service", request.service},
                {"result", std::string(name_of(end.code))},
                {"outcome", std::string(name_of(end.request_outcome))},
                {"took_ms", milliseconds_text(now - request.started)},
                {"left_ms", milliseconds_text(request.deadline - now)},
                {"retry_after_ms", std::to_string(end.retry_after.count())},
                {"generation", generation_of(request)}});
}

} // namespace almondquay
