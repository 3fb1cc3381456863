#pragma once

#include "common/result.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Reads the logs of several hosts line by line from files, directories or standard input.
namespace almondquay {

class log_source {
public:
    /// Without paths standard input is copied to a temporary file, since logs are read more than
    /// once. Errors: text_unreadable.
    static result<log_source> open(const std::vector<std::string>& paths);
    ~log_source();
    log_source(log_source&& other) noexcept;
    log_source& operator=(log_source&& other) noexcept;
    log_source(const log_source&) = delete;
    log_source& operator=(const log_source&) = delete;

    /// Calls `on_line` for each line, file by file; the files of a directory are sorted by name.
    /// Only one line is held in memory. `progress`, if set, is called periodically with the bytes
    /// read. Errors: text_unreadable.
    result<done> for_each_line(const std::function<void(std::string_view)>& on_line) const;

    std::function<void(std::uintmax_t)> progress;

private:
    log_source() = default;

    std::vector<std::string> files_;
    std::string spooled_; ///< temporary copy of standard input, removed by the destructor
};

} // namespace almondquay
