#include "traffic/request_log.h"

#include "logging/log.h"

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;

constexpr unsigned lines_per_second = 60;

std::string milliseconds_text(clock::duration d)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

/// Whether one more line may be written this second.
bool take_line(worker& w)
{
    const auto now = clock::now();
    if (now - w.log_window_start >= std::chrono::seconds(1)) {
        if (w.log_lines_dropped != 0) {
            log::write(log::level::warning, "log_lines_dropped",
                       {{"lines", std::to_string(w.log_lines_dropped)}});
        }
        w.log_window_start = now;
        w.log_lines = 0;
        w.log_lines_dropped = 0;
    }
    if (w.log_lines >= lines_per_second) {
        ++w.log_lines_dropped;
        return false;
    }
    ++w.log_lines;
    return true;
}

std::string generation_of(const caller_request& request)
{
    return request.snapshot ? std::to_string(request.snapshot->in_force.value) : "0";
}

} // namespace

void log_placement(worker& w, const caller_request& request, const placement& chosen)
{
    if (!request.is_sampled || !take_line(w)) {
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
                {"report_age_ms", milliseconds_text(now - load.reported)},
                {"handed_over", std::to_string(handed_over_share(load, now))}});
}

void log_attempt(worker& w, const caller_request& request, const slot& used, const forward_end& end,
                 clock::duration took)
{
    if (end.code == result_code::ok || !take_line(w)) {
        return;
    }
    const auto load = w.loads.find(used.target);
    const auto in_flight = load == w.loads.end() ? 0 : load->second.in_flight;
    log::write(log::level::info, "attempt_failed",
               {{"request", request.id},
                {"service", request.service},
                {"target", used.target.value},
                {"result", std::string(name_of(end.code))},
                {"outcome", std::string(name_of(end.what))},
                {"took_ms", milliseconds_text(took)},
                {"in_flight", std::to_string(in_flight)},
                {"generation", generation_of(request)}});
}

void log_end(worker& w, const caller_request& request, const forward_end& end)
{
    const bool is_success = end.code == result_code::ok;
    if (is_success && !request.is_sampled) {
        return;
    }
    if (!take_line(w)) {
        return;
    }
    const auto now = clock::now();
    log::write(log::level::info, "request_ended",
               {{"request", request.id},
                {"route", request.rule != nullptr ? request.rule->id.value : ""},
                {"service", request.service},
                {"result", std::string(name_of(end.code))},
                {"outcome", std::string(name_of(end.what))},
                {"took_ms", milliseconds_text(now - request.started)},
                {"left_ms", milliseconds_text(request.deadline - now)},
                {"generation", generation_of(request)}});
}

} // namespace almondquay
