#pragma once

#include "trace/log_line.h"
#include "trace/log_source.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondquay {

/// State of a host at a given time, reconstructed from its log.
struct logged_host_state {
    std::string host;
    std::string stage = "not seen"; ///< not seen, starting, serving, leaving, stopped
    std::string since;              ///< time of the host's latest start
    std::string generation;         ///< summary of the decision that activated it
    std::string store = "unknown";  ///< answers, away (unreachable) or unknown
    std::string store_since;
    std::map<std::string, std::string> targets_out; ///< excluded target to the decision
    std::map<std::string, std::string> evacuated;   ///< failure domain to the decision
    std::map<std::string, std::string> dead_hosts;  ///< host to the decision
    std::map<std::string, std::string> quarantined; ///< request fingerprint to the decision
    std::size_t targets_listed = 0;
    std::uint64_t lines = 0;      ///< log lines of the host up to that time
    bool clock_went_back = false; ///< the host's clock was set back, so the time is ambiguous
};

/// Replays the host's log lines up to the first one after `at`. Errors: text_unreadable.
result<logged_host_state> read_host_state(const log_source& logs, const std::string& host,
                                          log_time at);

} // namespace almondquay
