#pragma once

#include "trace/request_story.h"

#include <string>

namespace almondquay {

/// Why a request ended as it did, as far as the logs tell.
struct request_cause {
    std::string result;  ///< name of the result code; empty: the logs do not tell
    std::string outcome; ///< "ran", "not-run" or "unknown"; empty: not told
    std::string host;    ///< that ended the request
    std::string target;  ///< of the attempt that decided; empty: there was none
    std::string text;    ///< one or two sentences for people
};

request_cause find_cause(const request_story& story);

} // namespace almondquay
