#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Parser for log lines as written by logging/log.h.
namespace almondquay {

using log_time = std::chrono::microseconds; ///< since the epoch, from the clock of the logging host

struct log_line {
    std::string time_text; ///< as written in the line
    log_time time{0};
    std::string process;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< all other fields, in order
};

/// Parses a line, ignoring any prefix that a log collector put before "time=". Returns nullopt if
/// it is not a log line.
std::optional<log_line> parse_log_line(std::string_view text);

/// The value of a field, or an empty string.
std::string_view field_of(const log_line& line, std::string_view key);

/// The value of one of a decision's inputs, or an empty string.
std::string_view input_of(const log_line& line, std::string_view key);

/// Parses "2026-04-26T10:37:56.051394Z"; the fraction may be shorter or absent.
std::optional<log_time> parse_log_time(std::string_view text);

} // namespace almondquay
