#pragma once

#include "common/result_code.h"

#include <string>
#include <vector>

namespace almondquay {

/// One thing wrong with a text: where, what number, and why. Line 0 means the whole file.
struct diagnostic {
    result_code code = result_code::ok;
    std::string file;
    int line = 0;
    std::string message;

    bool operator==(const diagnostic&) const = default;
};

/// All findings of one run, in the order of the text.
using diagnostics = std::vector<diagnostic>;

/// "fleet.ini:12: 1005 unknown_key: ..." as the command line prints it.
std::string to_string(const diagnostic& d);

} // namespace almondquay
