#pragma once

#include "common/result.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// The logs of many hosts as lines: files, folders with files, or standard input.
namespace almondquay {

class log_source {
public:
    /// No paths: standard input, which is kept in a temporary file since logs are read more than
    /// once. Errors: text_unreadable.
    static result<log_source> open(const std::vector<std::string>& paths);
    ~log_source();
    log_source(log_source&& other) noexcept;
    log_source& operator=(log_source&& other) noexcept;
    log_source(const log_source&) = delete;
    log_source& operator=(const log_source&) = delete;

    /// Calls `take` with each line, file by file, in the order of their names. Memory stays flat.
    /// `progress`, if set, is told now and then how many bytes have been read.
    /// Errors: text_unreadable.
    result<done> each_line(const std::function<void(std::string_view)>& take) const;

    std::function<void(std::uintmax_t)> progress;

private:
    log_source() = default;

    std::vector<std::string> files_;
    std::string spooled_; ///< a temporary file, removed in the end
};

} // namespace almondquay
