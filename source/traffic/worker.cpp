#include "traffic/worker.h"

#include "logging/handler_failure.h"
#include "traffic/outcome.h"
#include "traffic/request_log.h"
#include "traffic/session.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace almondquay {

namespace {

constexpr std::chrono::milliseconds accept_pause{50};
/// Decay factor of a service's slowest response time, applied with each response.
constexpr double slowest_decay = 0.98;

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

bool has_routed_connections(const worker& w)
{
    return std::ranges::any_of(w.listeners, [](const open_listener& at) {
        return routes_requests(at.role) && at.connections != 0;
    });
}

/// Keeps a connection in the list of its thread and counts it at its listener while the coroutine
/// that reads from it exists. If an exception ends that early, requests of the connection may still
/// be running.
struct listed_connection {
    listed_connection(worker& owner, open_listener& accepted_by, tcp::socket socket)
        : w(&owner), at(&accepted_by),
          connection(new caller_connection(std::move(socket), accepted_by.role))
    {
        w->callers.push_back(*connection);
        ++at->connections;
    }
    ~listed_connection()
    {
        if (!connection->is_linked()) {
            return; // The thread has ended; its list and its listeners are gone.
        }
        --at->connections;
        if (!has_ended) {
            reset_connection(*connection);
        }
        w->callers.erase(w->callers.iterator_to(*connection));
        if (w->stopping && !has_routed_connections(*w) && w->on_drained) {
            std::exchange(w->on_drained, nullptr)();
        }
    }
    listed_connection(const listed_connection&) = delete;
    listed_connection& operator=(const listed_connection&) = delete;

    worker* w;
    open_listener* at;
    caller_connection_ptr connection;
    bool has_ended = false;
};

asio::awaitable<void> serve(worker& w, open_listener& at, tcp::socket socket)
{
    listed_connection caller(w, at, std::move(socket));
    co_await serve_caller(w, *caller.connection);
    caller.has_ended = true;
}

/// Refuses a caller beyond the connection limit with a response that is short enough to fit into
/// any socket buffer.
void reject_connection(worker& w, tcp::socket& socket)
{
    const auto code = result_code::too_many_connections;
    w.context.metrics->add({"requests_total", "", std::string(name_of(code))});
    log_refused(w, {}, code);
    const auto body = refusal_body(code, outcome::not_run);
    const auto text = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n" +
                      std::string(outcome_header) + ": not-run\r\n" + std::string(result_header) +
                      ": " + std::to_string(static_cast<int>(code)) +
                      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(text), ignored);
}

asio::awaitable<void> accept_callers(worker& w, open_listener& at)
{
    while (at.acceptor.is_open()) {
        error_code problem;
        tcp::socket socket(w.io);
        co_await at.acceptor.async_accept(socket, redirect_error_to(problem));
        if (problem == asio::error::operation_aborted) {
            co_return;
        }
        if (problem) {
            // Most likely out of file descriptors, so idle connections to targets are closed.
            drop_all_idle(w.upstreams);
            asio::steady_timer pause(w.io, accept_pause);
            co_await pause.async_wait(redirect_error_to(problem));
            continue;
        }
        const bool is_reserved =
            socket.native_handle() >= limit_for(w.context.descriptors, at.role);
        if (is_reserved) {
            drop_all_idle(w.upstreams);
        }
        if (is_reserved || at.connections >= w.context.max_connections) {
            reject_connection(w, socket);
            continue;
        }
        asio::co_spawn(w.io, serve(w, at, std::move(socket)),
                       log::failures_of("caller connection"));
    }
}

} // namespace

result<done> start_listening(worker& w)
{
    for (const auto& [at, role] : w.context.listen) {
        try {
            const tcp::endpoint address(asio::ip::make_address(at.address), at.port);
            auto& acceptor = w.listeners.emplace_back(w.io, role).acceptor;
            acceptor.open(address.protocol());
            acceptor.set_option(tcp::acceptor::reuse_address(true));
            acceptor.set_option(reuse_port(true));
            acceptor.bind(address);
            acceptor.listen();
        } catch (const boost::system::system_error& problem) {
            return error{result_code::usage_error, to_string(at) + ": " + problem.what()};
        }
    }
    for (auto& at : w.listeners) {
        asio::co_spawn(w.io, accept_callers(w, at), log::failures_of("caller listener"));
    }
    return done{};
}

void stop_listening(worker& w, std::function<void()> on_drained)
{
    error_code ignored;
    w.stopping = true;
    for (auto& at : w.listeners) {
        if (routes_requests(at.role)) {
            at.acceptor.close(ignored);
        }
    }
    if (!has_routed_connections(w)) {
        on_drained();
        return;
    }
    w.on_drained = std::move(on_drained);
    for (auto& caller : w.callers) {
        if (routes_requests(caller.role) && !caller.is_busy() && !has_unread_data(caller)) {
            caller.closing = true;
            caller.stream.cancel();
        }
    }
}

void note_response_time(worker& w, const std::string& service,
                        std::chrono::steady_clock::duration took)
{
    const std::chrono::duration<double, std::milli> now = took;
    auto& slowest = w.slowest_response_ms[service];
    slowest = std::max(slowest * slowest_decay, now.count());
}

void take_verdict(worker& w, const claim_verdict_effect& verdict)
{
    const auto waiting = w.verdicts.find(verdict.request);
    if (waiting != w.verdicts.end()) {
        waiting->second->verdict = verdict;
        waiting->second->signal.cancel();
    }
}

void take_permit(worker& w, const permit_verdict_effect& verdict)
{
    const auto waiting = w.permits.find(verdict.request);
    if (waiting != w.permits.end()) {
        waiting->second->verdict = verdict;
        waiting->second->signal.cancel();
    }
}

void report_target(worker& w, const target_id& target, target_evidence evidence)
{
    auto& failures = w.consecutive_failures[target];
    if (evidence != target_evidence::served) {
        ++failures;
        w.context.events.report({target, evidence});
    } else if (failures != 0) {
        failures = 0;
        w.context.events.report({target, evidence});
    }
}

} // namespace almondquay
