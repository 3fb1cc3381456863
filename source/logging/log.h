#pragma once

#include "common/result_code.h"

#include <initializer_list>
#include <string>
#include <string_view>

/// Structured logs: one line an event, key=value, on standard output. The logging library stays
/// behind this header so that its own headers are compiled once.
namespace almondquay::log {

enum class level { debug, info, warning, error };

/// One key and its value; values with spaces, quotes or control characters are quoted.
struct field {
    std::string_view key;
    std::string value;
};

/// Sets up the sink. Lines below `lowest` are dropped; `process` is put on every line.
void start(level lowest, std::string process);

/// Changes which lines are dropped.
void set_level(level lowest);

/// Writes one line: time, level, process, event and the fields in their order.
void write(level l, std::string_view event, std::initializer_list<field> fields = {});

/// Reads "debug", "info", "warning" or "error"; any other word gives info.
level parse_level(std::string_view word);

/// The value as it is written in a log line.
std::string quoted_value(std::string_view value);

} // namespace almondquay::log
