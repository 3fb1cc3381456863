#include "traffic/crash_check.h"

#include "logging/handler_failure.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

namespace almondquay {

namespace {

/// Delay before testing whether a target has crashed: a crashing target may close its connections
/// slightly before its listener.
constexpr std::chrono::milliseconds crash_check_delay{150};

std::string describe(const caller_request& request)
{
    const auto& head = request.parser->get();
    constexpr std::size_t longest_path = 80;
    return request.service + " " + std::string(head.method_string()) + " " +
           std::string(head.target()).substr(0, longest_path);
}

/// Reports a crash unless the target still accepts connections; in that case only a response was
/// lost, by the target or by a network device on the path. The connection opened for this test is
/// kept for later requests.
asio::awaitable<void> report_if_crashed(worker& w, crash_evidence evidence, endpoint address)
{
    error_code problem;
    asio::steady_timer delay(w.io, crash_check_delay);
    co_await delay.async_wait(redirect_error_to(problem));
    const auto upstream = co_await connect(w.upstreams, address,
                                           std::chrono::steady_clock::time_point::max(), problem);
    if (!problem) {
        put_idle(w.upstreams, address, upstream);
        co_return;
    }
    if (problem == asio::error::no_descriptors) {
        co_return; // Tells nothing about the target.
    }
    w.suspects.insert(evidence.fingerprint);
    w.context.events.crash(std::move(evidence));
}

} // namespace

void check_for_crash(worker& w, const caller_request& request, const slot& used,
                     const forward_result& end)
{
    if (end.code == result_code::target_answer_lost) {
        asio::co_spawn(w.io,
                       report_if_crashed(w, {request.fingerprint, describe(request), used.target},
                                         used.address),
                       log::failures_of("crash check"));
    } else if (end.request_outcome == outcome::ran && w.suspects.erase(request.fingerprint) != 0) {
        w.context.events.cleared(request.fingerprint);
    }
}

} // namespace almondquay
