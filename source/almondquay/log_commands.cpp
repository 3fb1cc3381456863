#include "almondquay/commands.h"
#include "trace/logged_host_state.h"
#include "trace/request_cause.h"
#include "trace/request_trace.h"

#include <algorithm>
#include <iostream>

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

/// Maximum number of context lines in the text output; --json prints all of them.
constexpr std::size_t shown_context_lines = 12;

result<log_source> open_logs(const command_line& c)
{
    auto source = log_source::open(c.logs);
    if (succeeded(source)) {
        value_of(source).progress = [](std::uintmax_t bytes) {
            constexpr std::uintmax_t bytes_per_megabyte = 1024ULL * 1024;
            std::cerr << "almondquay: " << bytes / bytes_per_megabyte << " MB read\n";
        };
    }
    return source;
}

json to_json(const log_line& line)
{
    json fields = json::object();
    for (const auto& [key, value] : line.fields) {
        fields[key] = value;
    }
    return {{"time", line.time_text},
            {"host", line.process},
            {"event", line.event},
            {"fields", std::move(fields)}};
}

json to_json(const std::vector<log_line>& lines)
{
    json all = json::array();
    for (const auto& line : lines) {
        all.push_back(to_json(line));
    }
    return all;
}

void print_line(const log_line& line)
{
    std::cout << "  " << line.time_text << "  " << line.process << "  " << line.event;
    const auto summary = field_of(line, "summary");
    if (!summary.empty()) {
        std::cout << "  " << summary << '\n';
        return;
    }
    for (const auto& [key, value] : line.fields) {
        if (key != "level" && key != "request" && !value.empty()) {
            std::cout << "  " << key << '=' << value;
        }
    }
    std::cout << '\n';
}

/// The lines closest in time to the end of the request, in their original order.
std::vector<log_line> nearest_lines(std::vector<log_line> lines, log_time end)
{
    const auto distance = [&](const log_line& line) {
        return line.time < end ? end - line.time : line.time - end;
    };
    while (lines.size() > shown_context_lines) {
        lines.erase(std::ranges::max_element(lines, {}, distance));
    }
    return lines;
}

void print_request_trace(const request_trace& trace, const request_cause& cause)
{
    std::cout << "cause: " << cause.text << '\n';
    if (!cause.result.empty()) {
        std::cout << "result: " << cause.result
                  << (cause.outcome.empty() ? "" : ", outcome " + cause.outcome) << ", at "
                  << cause.host << '\n';
    }
    if (trace.lines.empty()) {
        return;
    }
    std::cout << "lines of the request:\n";
    std::ranges::for_each(trace.lines, print_line);
    const auto context = nearest_lines(trace.context, trace.lines.back().time);
    if (!context.empty()) {
        std::cout << "decisions of the same hosts (" << context.size() << " of "
                  << trace.context.size() << "):\n";
        std::ranges::for_each(context, print_line);
    }
}

void print_decisions(std::string_view title, const std::map<std::string, std::string>& decisions)
{
    for (const auto& [what, decision] : decisions) {
        std::cout << "  " << title << ' ' << what << ": " << decision << '\n';
    }
}

void print_host_state(const logged_host_state& b)
{
    std::cout << b.host << ": " << b.stage << (b.since.empty() ? "" : ", started " + b.since)
              << '\n';
    if (!b.generation.empty()) {
        std::cout << "  " << b.generation << '\n';
    }
    std::cout << "  store: " << b.store << (b.store_since.empty() ? "" : " since " + b.store_since)
              << "\n  targets listed: " << b.targets_listed << '\n';
    print_decisions("no work for target", b.targets_out);
    print_decisions("evacuated", b.evacuated);
    print_decisions("dead host", b.dead_hosts);
    print_decisions("refused request", b.quarantined);
    if (b.clock_went_back) {
        std::cout << "  The host's clock was set back within its log; this is the state at the "
                     "first line after the time.\n";
    }
}

json to_json(const logged_host_state& b)
{
    return {{"host", b.host},
            {"stage", b.stage},
            {"since", b.since},
            {"generation", b.generation},
            {"store", b.store},
            {"store_since", b.store_since},
            {"targets_listed", b.targets_listed},
            {"targets_out", b.targets_out},
            {"evacuated", b.evacuated},
            {"dead_hosts", b.dead_hosts},
            {"quarantined", b.quarantined},
            {"clock_went_back", b.clock_went_back}};
}

} // namespace

result_code run_trace(const command_line& c)
{
    const auto logs = open_logs(c);
    if (!succeeded(logs)) {
        return report_error(error_of(logs));
    }
    const auto trace = read_request_trace(value_of(logs), c.subject);
    if (!succeeded(trace)) {
        return report_error(error_of(trace));
    }
    const auto& traced = value_of(trace);
    const auto cause = find_cause(traced);
    if (c.json) {
        std::cout << json{{"id", traced.id},
                          {"cause", cause.text},
                          {"result", cause.result},
                          {"outcome", cause.outcome},
                          {"host", cause.host},
                          {"target", cause.target},
                          {"lines", to_json(traced.lines)},
                          {"context", to_json(traced.context)},
                          {"dropped", traced.dropped}}
                         .dump()
                  << '\n';
    } else {
        print_request_trace(traced, cause);
    }
    return cause.result.empty() ? report_error({result_code::request_not_logged, traced.id})
                                : result_code::ok;
}

result_code run_believed(const command_line& c)
{
    const auto at = parse_log_time(c.at);
    if (!at) {
        return report_error({result_code::usage_error, "'" + c.at + "' is not a valid time"});
    }
    const auto logs = open_logs(c);
    if (!succeeded(logs)) {
        return report_error(error_of(logs));
    }
    const auto host_state = read_host_state(value_of(logs), c.subject, *at);
    if (!succeeded(host_state)) {
        return report_error(error_of(host_state));
    }
    const auto& b = value_of(host_state);
    if (b.lines == 0) {
        return report_error({result_code::host_not_logged, c.subject});
    }
    if (c.json) {
        std::cout << to_json(b).dump() << '\n';
    } else {
        print_host_state(b);
    }
    return result_code::ok;
}

} // namespace almondquay
