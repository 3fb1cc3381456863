#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Writes whole lines to a file descriptor without blocking on a slow reader.
namespace almondquay::log {

/// The output descriptor, with a count of dropped lines and the rest of a partly written one.
struct line_writer {
    int descriptor = -1;
    std::uint64_t dropped = 0; ///< lines dropped since the last one that was written
    std::string unwritten;     ///< rest of a partly written line
};

/// Sets a pipe or socket to non-blocking mode. Files are left unchanged, and so are terminals,
/// whose mode is shared with other programs. Returns false if the mode cannot be set.
bool set_nonblocking(const line_writer& w);

/// Writes a line, which must end in a line feed, or drops and counts it if the write would block. A
/// partly written line is completed before the next one.
void write_line(line_writer& w, std::string_view line);

} // namespace almondquay::log
