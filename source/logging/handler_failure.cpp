#include "logging/handler_failure.h"

#include "logging/log.h"

#include <chrono>
#include <mutex>
#include <string>

namespace almondquay::log {

namespace {

constexpr unsigned lines_per_second = 10;

/// Lines of the current second, over all threads.
struct line_window {
    std::mutex mutex;
    std::chrono::steady_clock::time_point start;
    unsigned written = 0;
    unsigned dropped = 0;
};

/// Counts a line. Returns false if it is not to be written, and sets `dropped` otherwise to the
/// number of lines that were not written in the second before.
bool take_line(unsigned& dropped)
{
    static line_window window;
    const std::scoped_lock lock(window.mutex);
    const auto now = std::chrono::steady_clock::now();
    if (now - window.start >= std::chrono::seconds(1)) {
        dropped = std::exchange(window.dropped, 0);
        window.start = now;
        window.written = 0;
    }
    const bool is_written = window.written < lines_per_second;
    ++(is_written ? window.written : window.dropped);
    return is_written;
}

std::string text_of(const std::exception_ptr& problem)
{
    try {
        std::rethrow_exception(problem);
    } catch (const std::exception& known) {
        return known.what();
    } catch (...) {
        return "not a std::exception";
    }
}

} // namespace

void write_failure(std::string_view work, const std::exception_ptr& problem)
{
    unsigned dropped = 0;
    if (take_line(dropped)) {
        write(level::error, "handler_failed",
              {{"work", std::string(work)},
               {"why", text_of(problem)},
               {"dropped", std::to_string(dropped)}});
    }
}

void run_handlers(boost::asio::io_context& io, std::string_view thread)
{
    bool has_ended = false;
    while (!has_ended) {
        run_logged(thread, [&] {
            io.run();
            has_ended = true;
        });
    }
}

} // namespace almondquay::log
