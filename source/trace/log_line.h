#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// A line of a host's log, as logging/log.h writes it.
namespace almondquay {

using log_time = std::chrono::microseconds; ///< since the epoch, by the clock of the host

struct log_line {
    std::string time_text; ///< as it stands in the line
    log_time time{0};
    std::string process;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; ///< all others, in their order
};

/// Reads a line. What collectors put before "time=" is passed over. Nothing if it is no log line.
std::optional<log_line> parse_log_line(std::string_view text);

/// The value of a field, or an empty text.
std::string_view field_of(const log_line& line, std::string_view key);

/// The value of one of a decision's inputs, or an empty text.
std::string_view input_of(const log_line& line, std::string_view key);

/// Reads "2026-04-26T10:37:56.051394Z"; fewer digits of the second will do.
std::optional<log_time> parse_log_time(std::string_view text);

} // namespace almondquay
