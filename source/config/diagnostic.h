#pragma once

#include "common/result_code.h"

#include <string>
#include <vector>

namespace almondquay {

/// One problem found in a configuration file: its location, result code and message. Line 0 refers
/// to the whole file.
struct diagnostic {
    result_code code = result_code::ok;
    std::string file;
    int line = 0;
    std::string message;

    bool operator==(const diagnostic&) const = default;
};

/// All problems found while parsing one file, in the order of its lines.
using diagnostics = std::vector<diagnostic>;

/// "fleet.ini:12: 1005 unknown_key: ..." as the command-line tool prints it.
std::string to_string(const diagnostic& d);

} // namespace almondquay
