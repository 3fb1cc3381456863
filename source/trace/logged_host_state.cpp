#include "trace/logged_host_state.h"

#include <set>

namespace almondquay {

namespace {

struct log_replay {
    logged_host_state state;
    std::set<std::string, std::less<>> listed;
};

std::string decision_text(const log_line& line)
{
    return line.time_text + " " + std::string(field_of(line, "summary"));
}

void apply_start(log_replay& r, const log_line& line)
{
    const auto host = r.state.host;
    const auto lines = r.state.lines;
    const auto went_back = r.state.clock_went_back;
    r = {};
    r.state.host = host;
    r.state.lines = lines;
    r.state.clock_went_back = went_back;
    r.state.stage = "starting";
    r.state.since = line.time_text;
}

void apply_target_decision(log_replay& r, const log_line& line)
{
    const std::string target(input_of(line, "target"));
    if (line.event == "target_listed") {
        r.listed.insert(target);
        if (input_of(line, "leaving") == "yes") {
            r.state.targets_out[target] = decision_text(line);
        }
    } else if (line.event == "target_gone") {
        r.listed.erase(target);
        r.state.targets_out.erase(target);
    } else if (line.event == "eject_target" || line.event == "leave_out_target") {
        r.state.targets_out[target] = decision_text(line);
    } else if (line.event == "readmit_target" || line.event == "try_target_again") {
        r.state.targets_out.erase(target);
    }
}

void apply_stage(logged_host_state& state, const log_line& line)
{
    if (line.event == "start_serving") {
        state.stage = "serving";
    } else if (line.event == "leave" || line.event == "stop_traffic") {
        state.stage = "leaving";
    } else if (line.event == "stopped") {
        state.stage = "stopped";
    }
}

void apply_line(log_replay& r, const log_line& line)
{
    auto& state = r.state;
    ++state.lines;
    if (line.event == "started") {
        apply_start(r, line);
    } else if (line.event == "adopt_fleet") {
        state.generation = decision_text(line);
    } else if (line.event == "store_away" || line.event == "store_answers") {
        state.store = line.event == "store_away" ? "away" : "answers";
        state.store_since = line.time_text;
    } else if (line.event == "evacuate") {
        state.evacuated[std::string(input_of(line, "failure_domain"))] = decision_text(line);
    } else if (line.event == "evacuation_over") {
        state.evacuated.erase(std::string(input_of(line, "failure_domain")));
    } else if (line.event == "host_dead") {
        state.dead_hosts[std::string(input_of(line, "host"))] = decision_text(line);
    } else if (line.event == "host_alive") {
        state.dead_hosts.erase(std::string(input_of(line, "host")));
    } else if (line.event == "quarantine_request") {
        state.quarantined[std::string(input_of(line, "fingerprint"))] = decision_text(line);
    } else if (line.event == "release_request") {
        state.quarantined.erase(std::string(input_of(line, "fingerprint")));
    } else {
        apply_target_decision(r, line);
        apply_stage(state, line);
    }
    state.targets_listed = r.listed.size();
}

} // namespace

result<logged_host_state> read_host_state(const log_source& logs, const std::string& host,
                                          log_time at)
{
    log_replay r;
    r.state.host = host;
    bool is_over = false;
    log_time latest{0};
    const auto read = logs.for_each_line([&](std::string_view text) {
        if (text.find(host) == std::string_view::npos) {
            return;
        }
        const auto line = parse_log_line(text);
        if (!line || line->process != host) {
            return;
        }
        r.state.clock_went_back = r.state.clock_went_back || line->time < latest;
        latest = line->time;
        is_over = is_over || line->time > at;
        if (!is_over) {
            apply_line(r, *line);
        }
    });
    if (!succeeded(read)) {
        return error_of(read);
    }
    return r.state;
}

} // namespace almondquay
