#include "trace/belief.h"

#include <set>

namespace almondquay {

namespace {

struct reading {
    logged_host_state belief;
    std::set<std::string, std::less<>> listed;
};

std::string decision_text(const log_line& line)
{
    return line.time_text + " " + std::string(field_of(line, "summary"));
}

void take_start(reading& r, const log_line& line)
{
    const auto host = r.belief.host;
    const auto lines = r.belief.lines;
    const auto went_back = r.belief.clock_went_back;
    r = {};
    r.belief.host = host;
    r.belief.lines = lines;
    r.belief.clock_went_back = went_back;
    r.belief.stage = "starting";
    r.belief.since = line.time_text;
}

void take_about_target(reading& r, const log_line& line)
{
    const std::string target(input_of(line, "target"));
    if (line.event == "target_listed") {
        r.listed.insert(target);
        if (input_of(line, "leaving") == "yes") {
            r.belief.targets_out[target] = decision_text(line);
        }
    } else if (line.event == "target_gone") {
        r.listed.erase(target);
        r.belief.targets_out.erase(target);
    } else if (line.event == "eject_target" || line.event == "leave_out_target") {
        r.belief.targets_out[target] = decision_text(line);
    } else if (line.event == "readmit_target" || line.event == "try_target_again") {
        r.belief.targets_out.erase(target);
    }
}

void take_stage(logged_host_state& belief, const log_line& line)
{
    if (line.event == "start_serving") {
        belief.stage = "serving";
    } else if (line.event == "leave" || line.event == "stop_traffic") {
        belief.stage = "leaving";
    } else if (line.event == "stopped") {
        belief.stage = "stopped";
    }
}

void take_line(reading& r, const log_line& line)
{
    auto& belief = r.belief;
    ++belief.lines;
    if (line.event == "started") {
        take_start(r, line);
    } else if (line.event == "adopt_fleet") {
        belief.generation = decision_text(line);
    } else if (line.event == "store_away" || line.event == "store_answers") {
        belief.store = line.event == "store_away" ? "away" : "answers";
        belief.store_since = line.time_text;
    } else if (line.event == "evacuate") {
        belief.evacuated[std::string(input_of(line, "failure_domain"))] = decision_text(line);
    } else if (line.event == "evacuation_over") {
        belief.evacuated.erase(std::string(input_of(line, "failure_domain")));
    } else if (line.event == "host_dead") {
        belief.dead_hosts[std::string(input_of(line, "host"))] = decision_text(line);
    } else if (line.event == "host_alive") {
        belief.dead_hosts.erase(std::string(input_of(line, "host")));
    } else if (line.event == "quarantine_request") {
        belief.quarantined[std::string(input_of(line, "fingerprint"))] = decision_text(line);
    } else if (line.event == "release_request") {
        belief.quarantined.erase(std::string(input_of(line, "fingerprint")));
    } else {
        take_about_target(r, line);
        take_stage(belief, line);
    }
    belief.targets_listed = r.listed.size();
}

} // namespace

result<logged_host_state> read_host_state(const log_source& logs, const std::string& host,
                                          log_time at)
{
    reading r;
    r.belief.host = host;
    bool is_over = false;
    log_time latest{0};
    const auto read = logs.each_line([&](std::string_view text) {
        if (text.find(host) == std::string_view::npos) {
            return;
        }
        const auto line = parse_log_line(text);
        if (!line || line->process != host) {
            return;
        }
        r.belief.clock_went_back = r.belief.clock_went_back || line->time < latest;
        latest = line->time;
        is_over = is_over || line->time > at;
        if (!is_over) {
            take_line(r, *line);
        }
    });
    if (!succeeded(read)) {
        return error_of(read);
    }
    return r.belief;
}

} // namespace almondquay
