#pragma once

#include "trace/request_trace.h"

#include <string>

namespace almondquay {

/// Why a request ended with its result, as far as the logs show.
struct request_cause {
    std::string result;  ///< name of the result code; empty if not logged
    std::string outcome; ///< "ran", "not-run" or "unknown"; empty if not logged
    std::string host;    ///< host that completed the request
    std::string target;  ///< target of the decisive attempt; empty if there was none
    std::string text;    ///< one or two sentences for the operator
};

request_cause find_cause(const request_trace& trace);

} // namespace almondquay
