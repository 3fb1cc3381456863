#include "trace/request_trace.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace almondquay {

namespace {

constexpr std::string_view dropped_event = "log_lines_dropped";

/// Merges the lines of several hosts by time, keeping the order of each host's lines.
std::vector<log_line> merged(const std::map<std::string, std::vector<log_line>>& by_host)
{
    std::map<std::string, std::size_t> next;
    std::vector<log_line> all;
    while (true) {
        const log_line* earliest = nullptr;
        for (const auto& [host, lines] : by_host) {
            const auto at = next[host];
            if (at < lines.size() && (earliest == nullptr || lines[at].time < earliest->time)) {
                earliest = &lines[at];
            }
        }
        if (earliest == nullptr) {
            return all;
        }
        ++next[earliest->process];
        all.push_back(*earliest);
    }
}

struct host_span {
    log_time first{0};
    log_time last{0};
};

std::map<std::string, host_span> spans_of(const std::vector<log_line>& lines)
{
    std::map<std::string, host_span> spans;
    for (const auto& line : lines) {
        auto [place, is_new] = spans.try_emplace(line.process, host_span{line.time, line.time});
        place->second.first = std::min(place->second.first, line.time);
        place->second.last = std::max(place->second.last, line.time);
    }
    return spans;
}

std::set<std::string> targets_of(const std::vector<log_line>& lines)
{
    std::set<std::string> targets;
    for (const auto& line : lines) {
        if (const auto target = field_of(line, "target"); !target.empty()) {
            targets.emplace(target);
        }
    }
    return targets;
}

bool is_about_store(const log_line& line)
{
    return line.event == "store_away" || line.event == "store_answers";
}

bool is_about_host_itself(const log_line& line)
{
    return line.event == "started" || line.event == "start_serving" || line.event == "leave" ||
           line.event == "stop_traffic" || line.event == "stopped" ||
           line.event == "quarantine_request" || line.event == "adopt_fleet";
}

bool is_context_line(const log_line& line, const std::map<std::string, host_span>& spans,
                     const std::set<std::string>& targets)
{
    const auto span = spans.find(line.process);
    if (span == spans.end() || line.time < span->second.first - context_before ||
        line.time > span->second.last + context_after) {
        return false;
    }
    const std::string target(input_of(line, "target"));
    return is_about_store(line) || is_about_host_itself(line) || targets.contains(target);
}

std::uint64_t number_in(const log_line& line, std::string_view key)
{
    std::uint64_t number = 0;
    const auto value = field_of(line, key);
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

/// Cheap pre-check that skips most lines without parsing them.
bool may_be_decision(std::string_view text)
{
    return text.find(" inputs=") != std::string_view::npos ||
           text.find(" event=st") != std::string_view::npos; // started, stopped
}

} // namespace

result<request_trace> read_request_trace(const log_source& logs, const std::string& id)
{
    request_trace trace;
    trace.id = id;
    std::map<std::string, std::vector<log_line>> by_host;
    std::size_t count = 0;
    const auto first = logs.for_each_line([&](std::string_view text) {
        const bool may_name_request =
            count < max_trace_lines && text.find(id) != std::string_view::npos;
        const bool may_be_dropped_event = text.find(dropped_event) != std::string_view::npos;
        if (!may_name_request && !may_be_dropped_event) {
            return;
        }
        auto line = parse_log_line(text);
        if (line && line->event == dropped_event) {
            trace.dropped[line->process] += number_in(*line, "lines");
        } else if (line && may_name_request && field_of(*line, "request") == id) {
            ++count;
            by_host[line->process].push_back(std::move(*line));
        }
    });
    if (!succeeded(first)) {
        return error_of(first);
    }
    trace.lines = merged(by_host);
    const auto spans = spans_of(trace.lines);
    const auto targets = targets_of(trace.lines);
    std::map<std::string, std::vector<log_line>> context;
    count = 0;
    const auto second = logs.for_each_line([&](std::string_view text) {
        if (spans.empty() || count >= max_trace_lines || !may_be_decision(text)) {
            return;
        }
        auto line = parse_log_line(text);
        if (line && is_context_line(*line, spans, targets)) {
            ++count;
            context[line->process].push_back(std::move(*line));
        }
    });
    if (!succeeded(second)) {
        return error_of(second);
    }
    trace.context = merged(context);
    return trace;
}

} // namespace almondquay
