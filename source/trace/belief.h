#pragma once

#include "trace/log_line.h"
#include "trace/log_source.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondquay {

/// What a host had in force at a time, by its log.
struct host_belief {
    std::string host;
    std::string stage = "not seen"; ///< not seen, starting, serving, leaving, stopped
    std::string since;              ///< time of its latest start
    std::string generation;         ///< the sentence of the decision that put it in force
    std::string store = "unknown";  ///< answers, away or unknown
    std::string store_since;
    std::map<std::string, std::string> targets_out; ///< target and the decision against it
    std::map<std::string, std::string> evacuated;   ///< failure domain and the decision
    std::map<std::string, std::string> dead_hosts;  ///< host and the decision
    std::map<std::string, std::string> quarantined; ///< fingerprint and the decision
    std::size_t targets_listed = 0;
    std::uint64_t lines = 0;      ///< of the host up to that time
    bool clock_went_back = false; ///< the host's clock jumped, so that the time is ambiguous
};

/// Reads the log up to the first line of the host after `at`. Errors: text_unreadable.
result<host_belief> read_belief(const log_source& logs, const std::string& host, log_time at);

} // namespace almondquay
