#include "logging/line_writer.h"

#include <cerrno>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace almondquay::log {

namespace {

/// Returns the number of bytes written; 0 if the write would block or fails.
std::size_t write_some(int descriptor, std::string_view text)
{
    ssize_t written = 0;
    do {
        written = ::write(descriptor, text.data(), text.size());
    } while (written < 0 && errno == EINTR);
    return written < 0 ? 0 : static_cast<std::size_t>(written);
}

} // namespace

bool set_nonblocking(const line_writer& w)
{
    struct stat about {};
    if (::fstat(w.descriptor, &about) != 0) {
        return false;
    }
    if (!S_ISFIFO(about.st_mode) && !S_ISSOCK(about.st_mode)) {
        return true;
    }
    const int flags = ::fcntl(w.descriptor, F_GETFL);
    return flags >= 0 && ::fcntl(w.descriptor, F_SETFL, flags | O_NONBLOCK) == 0;
}

void write_line(line_writer& w, std::string_view line)
{
    if (!w.unwritten.empty()) {
        w.unwritten.erase(0, write_some(w.descriptor, w.unwritten));
    }
    const auto written = w.unwritten.empty() ? write_some(w.descriptor, line) : 0;
    if (written == 0) {
        ++w.dropped;
        return;
    }
    w.dropped = 0;
    w.unwritten = line.substr(written);
}

} // namespace almondquay::log
