#pragma once

#include "common/result_code.h"

#include <initializer_list>
#include <string>
#include <string_view>

/// Structured logging to standard output: one line per event, in key=value format. This header
/// hides the logging library, so that its headers are compiled only once.
namespace almondquay::log {

enum class level { debug, info, warning, error };

/// A key and its value; empty values and those with spaces, quotes, '=', backslashes or control
/// characters are quoted.
struct field {
    std::string_view key;
    std::string value;
};

/// Sets up the sink. Lines below `lowest` are discarded; `process` is added to every line.
void start(level lowest, std::string process);

/// Sets the lowest level that is logged.
void set_level(level lowest);

/// Writes one line: time, level, process, event and the fields in the given order.
void write(level l, std::string_view event, std::initializer_list<field> fields = {});

/// Parses "debug", "info", "warning" or "error"; any other word gives `level::info`.
level parse_level(std::string_view word);

/// The value as it is written in a log line.
std::string quoted_value(std::string_view value);

} // namespace almondquay::log
