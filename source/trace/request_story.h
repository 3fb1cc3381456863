#pragma once

#include "trace/log_line.h"
#include "trace/log_source.h"

#include <map>
#include <string>
#include <vector>

/// What the logs of all hosts tell of one request.
namespace almondquay {

struct request_story {
    std::string id;
    /// Lines that name the request, in the order of events: lines of one host keep their order even
    /// if its clock jumps; those of several hosts are merged by time.
    std::vector<log_line> lines;
    /// What the same hosts decided about the targets that the request was sent to, about the
    /// request itself and about their store, shortly before and after; merged into one order.
    std::vector<log_line> context;
    /// Lines about failures that hosts had no room for, by host.
    std::map<std::string, std::uint64_t> dropped;
};

/// Decisions so long before a request's first line belong to its story.
constexpr std::chrono::seconds context_before{30};
/// And those so long after its last line, since a crash shows in what follows.
constexpr std::chrono::seconds context_after{10};
/// Lines of a story and of its context; more would not be read.
constexpr std::size_t max_story_lines = 500;

/// Reads the logs twice. Errors: text_unreadable.
result<request_story> read_story(const log_source& logs, const std::string& id);

} // namespace almondquay
