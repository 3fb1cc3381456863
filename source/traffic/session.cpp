#include "traffic/session.h"

#include "logging/handler_failure.h"
#include "traffic/caller_reader.h"
#include "traffic/forward_claimed.h"
#include "traffic/local_response.h"
#include "traffic/lookup.h"
#include "traffic/message_framing.h"
#include "traffic/request_log.h"
#include "traffic/request_rules.h"

#include <boost/asio/co_spawn.hpp>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;

/// A request and its parser; lives until the response has been sent. If it goes before its turn was
/// ended, an exception has ended its work, and the connection cannot go on.
struct running_request
    : boost::intrusive_ref_counter<running_request, boost::thread_unsafe_counter> {
    explicit running_request(caller_connection& c) : connection(&c) {}
    ~running_request()
    {
        if (has_turn) {
            reset_connection(*connection);
            end_turn(*connection);
        }
    }
    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;

    caller_connection_ptr connection;
    caller_parser parser;
    caller_request request;
    bool has_turn = false;
};

using running_request_ptr = boost::intrusive_ptr<running_request>;

void take_turn(running_request& running)
{
    running.request.turn = running.connection->next_turn++;
    running.has_turn = true;
}

void end_turn(running_request& running)
{
    running.has_turn = false;
    end_turn(*running.connection);
}

/// Counts a request that was refused before its service was known.
void count_refused(worker& w, result_code code)
{
    w.context.metrics->add({"requests_total", "", std::string(name_of(code))});
}

void count(worker& w, const caller_request& request, result_code code)
{
    const auto route = request.rule != nullptr ? request.rule->id.value : std::string();
    const std::string name(name_of(code));
    w.context.metrics->add({"requests_total", request.service, name, route});
    w.context.metrics->observe({"request_seconds", request.service, name, route},
                               clock::now() - request.started);
}

asio::awaitable<claimed_result> run(worker& w, caller_request& request)
{
    request.fingerprint = fingerprint_of(request);
    if (w.snapshot->quarantined.contains(request.fingerprint)) {
        co_return claimed_result{refused_result(result_code::request_quarantined), std::nullopt};
    }
    const bool needs_claim =
        w.context.profile->claims_non_idempotent && !request.repeatable && !request.is_spilled;
    if (needs_claim) {
        co_return co_await forward_claimed(w, request);
    }
    auto end = co_await forward(w, request);
    co_return claimed_result{std::move(end), std::nullopt};
}

/// Processes a request and sends the response.
asio::awaitable<void> respond(worker& w, caller_request& request)
{
    auto& connection = *request.caller;
    const auto [end, replayed] = co_await run(w, request);
    count(w, request, end.code);
    log_end(w, request, end);
    if (replayed) {
        co_await replay(w, connection, request.turn, *replayed, request.keep_alive);
    } else if (end.answered || end.code == result_code::caller_gone) {
        if (!end.caller_usable) {
            connection.closing = true;
            if (end.code != result_code::ok) {
                mark_gone(connection);
            }
        }
    } else {
        const bool keep_alive = request.keep_alive && request.body_is_complete;
        co_await refuse(w, connection, request.turn, end, keep_alive);
    }
}

/// Serves a request after the first piece of its body has been read.
asio::awaitable<void> serve_request(worker& w, running_request_ptr running)
{
    auto& request = running->request;
    auto& connection = *request.caller;
    try {
        co_await respond(w, request);
    } catch (...) {
        log::write_failure("request", std::current_exception());
        reset_connection(connection);
    }
    request.unlink();
    // Returns immediately once the caller has disconnected, since the order no longer matters.
    co_await wait_for_turn(connection, request.turn);
    end_turn(*running);
    if (connection.closing && !connection.is_busy()) {
        connection.stream.cancel(); // Cancels the read that waits for a further request.
    }
}

/// Refuses a request and closes the connection, since the bytes that follow cannot be parsed.
asio::awaitable<void> refuse_and_close(worker& w, running_request& running, result_code code)
{
    co_await refuse(w, *running.connection, running.request.turn, refused_result(code), false);
    end_turn(running);
}

/// Reads a request's body and starts processing it. Requests that are not repeatable or whose body
/// is streamed start only after all earlier ones on the connection have ended, since an earlier
/// response may close the connection.
asio::awaitable<void> start_request(worker& w, running_request_ptr running)
{
    auto& request = running->request;
    auto& connection = *request.caller;
    error_code problem;
    co_await read_body(request, problem);
    if (problem) {
        const auto code = code_of_read_failure(problem);
        count(w, request, code);
        if (is_disconnect(problem) && problem != beast::error::timeout) {
            log_refused(w, request.id, result_code::caller_gone);
            mark_gone(connection);
            end_turn(*running);
            co_return;
        }
        log_refused(w, request.id, code);
        co_await refuse_and_close(w, *running, code);
        co_return;
    }
    const bool must_be_alone = !request.repeatable || !request.body_is_complete;
    if (must_be_alone) {
        const bool is_due = co_await wait_for_turn(connection, request.turn);
        if (!is_due) {
            end_turn(*running);
            co_return;
        }
    }
    if (must_be_alone && connection.closing) {
        end_turn(*running); // Not processed: the previous response closes the connection.
        co_return;
    }
    connection.requests.push_back(request);
    if (request.body_is_complete) {
        asio::co_spawn(w.io, serve_request(w, std::move(running)), log::failures_of("request"));
    } else {
        co_await serve_request(w, std::move(running));
    }
}

/// Answers or refuses a request for this host itself. Neither depends on a target.
asio::awaitable<void> serve_host_request(worker& w, running_request& running, bool keep_alive)
{
    auto& connection = *running.connection;
    const auto& parser = running.parser;
    const auto turn = running.request.turn;
    const auto refused = check_host_request(w, connection, parser);
    if (refused == result_code::ok) {
        co_await answer_host_request(w, connection, turn, parser, keep_alive);
    } else {
        count_refused(w, refused);
        log_refused(w, request_id_of(w, parser), refused);
        co_await refuse_host_request(w, connection, turn, parser, refused, keep_alive);
    }
    end_turn(running);
}

/// Reads one request and starts it. Returns false if no further one can be read.
asio::awaitable<bool> serve_next(worker& w, caller_connection& connection)
{
    running_request_ptr running(new running_request(connection));
    auto& parser = running->parser;
    error_code problem;
    co_await read_request_header(w, connection, parser, problem);
    if (connection.closing) {
        co_return false;
    }
    if (problem && is_disconnect(problem)) {
        mark_gone(connection);
        co_return false;
    }
    take_turn(*running);
    const auto turn = running->request.turn;
    if (problem) {
        const auto code = code_of_read_failure(problem);
        count_refused(w, code);
        log_refused(w, {}, code);
        co_await refuse_and_close(w, *running, code);
        co_return false;
    }
    if (const auto framing = check_framing(parser.get()); framing != result_code::ok) {
        count_refused(w, framing);
        log_refused(w, request_id_of(w, parser), framing);
        co_await refuse_and_close(w, *running, framing);
        co_return false;
    }
    // An answer of this host's own does not wait for a body, which must not be read as a request.
    const bool keep_alive = parser.is_done() && parser.get().keep_alive();
    if (is_for_host(w, connection, parser)) {
        co_await serve_host_request(w, *running, keep_alive);
        co_return keep_alive;
    }
    const route_rule* rule = nullptr;
    const auto refused = check_request(w, parser, rule);
    if (refused != result_code::ok) {
        count_refused(w, refused);
        log_refused(w, request_id_of(w, parser), refused);
        co_await refuse(w, connection, turn, refused_result(refused), keep_alive);
        end_turn(*running);
        co_return keep_alive;
    }
    fill_request(w, connection, parser, rule, running->request);
    co_await start_request(w, std::move(running));
    co_return true;
}

asio::awaitable<void> serve_requests(worker& w, caller_connection& connection)
{
    bool usable = co_await wait_for_request(w, connection);
    while (usable) {
        usable = co_await serve_next(w, connection);
        if (usable) {
            usable = co_await wait_for_request(w, connection);
        }
    }
}

} // namespace

asio::awaitable<void> serve_caller(worker& w, caller_connection& connection)
{
    error_code ignored;
    connection.stream.socket().set_option(tcp::no_delay(true), ignored);
    try {
        co_await serve_requests(w, connection);
    } catch (...) {
        log::write_failure("caller connection", std::current_exception());
        reset_connection(connection);
    }
    while (connection.is_busy()) {
        co_await wait_for_change(connection);
    }
    if (!connection.gone) {
        co_await linger(connection);
    }
}

} // namespace almondquay
