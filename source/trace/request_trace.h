#pragma once

#include "trace/log_line.h"
#include "trace/log_source.h"

#include <map>
#include <string>
#include <vector>

/// Collects the log lines of all hosts about one request.
namespace almondquay {

struct request_trace {
    std::string id;
    /// Lines with the request's id, in the order of events: lines of one host keep their order even
    /// if its clock jumps; those of several hosts are merged by time.
    std::vector<log_line> lines;
    /// Decisions of the same hosts shortly before and after the request, about its targets, the
    /// request itself, the store and the hosts' own state; merged in the same way.
    std::vector<log_line> context;
    /// Number of lines about failures that were not logged because of the rate limit, by host.
    std::map<std::string, std::uint64_t> dropped;
};

/// Decisions up to this long before the request's first line are part of the context.
constexpr std::chrono::seconds context_before{30};
/// Decisions up to this long after its last line, since the effects of a crash are logged later.
constexpr std::chrono::seconds context_after{10};
/// Maximum number of lines of the request and, separately, of context lines; keeps the output
/// readable.
constexpr std::size_t max_trace_lines = 500;

/// Reads the logs twice: first for the request, then for its context. Errors: text_unreadable.
result<request_trace> read_request_trace(const log_source& logs, const std::string& id);

} // namespace almondquay
