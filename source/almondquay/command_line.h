#pragma once

#include "common/result.h"
#include "config/fleet_envelope.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondquay {

enum class command_name {
    check,
    apply,
    show,
    status,
    drain,
    undrain,
    timeline,
    explain,
    release,
    trace,
    believed
};

/// A parsed command line. Fields that the command does not use stay empty.
struct command_line {
    command_name name = command_name::status;
    std::string settings_file;
    std::string file;                     ///< check, apply
    std::optional<std::uint64_t> read_at; ///< apply: the generation the text was edited from
    std::string reason;                   ///< apply, drain, undrain
    drain_kind kind = drain_kind::target; ///< drain, undrain
    std::string subject;           ///< drain, undrain: a name; explain, trace: an id; release: a
                                   ///< fingerprint; believed: a host
    std::string at;                ///< believed: a time
    std::vector<std::string> logs; ///< trace, believed: files and folders; empty: standard input
    bool json = false;
};

/// Parses the arguments; prints the usage text and the error, if any. Errors: usage_error; its
/// detail is empty if help was requested.
result<command_line> parse_command_line(int argc, const char* const* argv);

} // namespace almondquay
