#pragma once

#include <exception>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>

/// Bounds what an unexpected exception costs: one piece of work, such as a connection, and a log
/// line, but not the process with the work of all others.
namespace almondquay::log {

/// Logs an exception. Lines beyond a few each second are only counted.
void write_failure(std::string_view work, const std::exception_ptr& problem);

/// Runs the handlers of `io` until it is stopped or out of work. What a handler throws is logged,
/// and the others go on.
void run_handlers(boost::asio::io_context& io, std::string_view thread);

/// Calls `todo` and logs what it throws.
template <class Work> void run_logged(std::string_view work, Work&& todo)
{
    try {
        std::forward<Work>(todo)();
    } catch (...) {
        write_failure(work, std::current_exception());
    }
}

/// Completion token for co_spawn: logs what the coroutine throws. `work` must be a literal.
inline auto failures_of(std::string_view work)
{
    return [work](const std::exception_ptr& problem) {
        if (problem) {
            write_failure(work, problem);
        }
    };
}

} // namespace almondquay::log
