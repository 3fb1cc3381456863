#include "traffic/session.h"

#include "http/message.h"
#include "traffic/claimed.h"
#include "traffic/forward.h"
#include "traffic/outcome.h"
#include "traffic/spill.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;
using small_response = beast::http::response<beast::http::string_body>;

constexpr std::uint32_t max_request_header_bytes = 16U * 1024;
constexpr std::chrono::seconds idle_timeout{60};
constexpr std::chrono::seconds header_timeout{10};
constexpr std::chrono::seconds body_timeout{30};
constexpr std::chrono::seconds write_timeout{30};
/// After a refusal the rest of a body up to this size is read, so that the answer arrives before
/// the connection closes.
constexpr std::size_t read_ahead_bytes = 4UL * 1024;

/// Ends a read from the caller after a time, but leaves the connection open for a refusal, which
/// the stream's own timeout does not.
class read_limit {
public:
    read_limit(caller_connection& connection, std::chrono::seconds limit)
        : timer_(connection.stream.get_executor(), limit), state_(std::make_shared<shared_state>())
    {
        connection.stream.expires_never();
        timer_.async_wait([state = state_, &connection](const error_code& problem) {
            if (!problem && !state->ended) {
                state->expired = true;
                connection.stream.cancel();
            }
        });
    }
    ~read_limit() { state_->ended = true; }
    read_limit(const read_limit&) = delete;
    read_limit& operator=(const read_limit&) = delete;

    /// Translates the cancelled read of an expired limit to a timeout.
    void translate(error_code& problem) const
    {
        if (problem && state_->expired) {
            problem = make_error_code(beast::error::timeout);
        }
    }

private:
    struct shared_state {
        bool ended = false;
        bool expired = false;
    };

    asio::steady_timer timer_;
    std::shared_ptr<shared_state> state_;
};

result_code code_of_read_failure(const error_code& problem)
{
    if (problem == beast::http::error::header_limit) {
        return result_code::request_header_too_large;
    }
    if (problem == beast::error::timeout) {
        return result_code::request_too_slow;
    }
    return result_code::request_malformed;
}

bool is_plain_close(const error_code& problem)
{
    return problem == beast::http::error::end_of_stream ||
           problem == beast::http::error::partial_message ||
           problem.category() == boost::asio::error::get_system_category() ||
           problem == asio::error::eof;
}

asio::awaitable<bool> write_small(caller_connection& connection, small_response& answer)
{
    error_code problem;
    answer.prepare_payload();
    connection.stream.expires_after(write_timeout);
    co_await beast::http::async_write(connection.stream, answer, into(problem));
    co_return !problem && answer.keep_alive();
}

small_response make_refusal(const worker& w, result_code code, outcome what, bool keep_alive)
{
    small_response answer;
    answer.version(11);
    answer.result(status_of(code));
    answer.set(beast::http::field::content_type, "application/json");
    answer.set(outcome_header, name_of(what));
    answer.set(result_header, std::to_string(static_cast<int>(code)));
    answer.set(host_header, w.context.host.value);
    answer.keep_alive(keep_alive);
    answer.body() = refusal_body(code, what);
    return answer;
}

void count(worker& w, const std::string& service, result_code code, clock::time_point start)
{
    const metrics::series s{"requests_total", service, std::string(name_of(code))};
    w.context.metrics->add(s);
    w.context.metrics->observe({"request_seconds", service, ""}, clock::now() - start);
}

asio::awaitable<bool> answer_lookup(worker& w, caller_connection& connection,
                                    const caller_parser& parser)
{
    const auto target = parser.get().target();
    const auto parts = http::split_path({target.data(), target.size()});
    auto block = std::string(http::header_of(parts.parameters, "block"));
    if (block.empty()) {
        error_code ignored;
        block = connection.stream.socket().remote_endpoint(ignored).address().to_string();
    }
    const bool keep_alive = parser.get().keep_alive() && !w.stopping;
    const std::string* found = nullptr;
    if (w.snapshot && w.snapshot->ready) {
        found =
            find_lookup_answer(*w.snapshot, http::header_of(parts.parameters, "service"), block);
    }
    if (found == nullptr) {
        const bool ready = w.snapshot && w.snapshot->ready;
        const auto code = ready ? result_code::service_unknown : result_code::host_not_ready;
        auto refusal = make_refusal(w, code, outcome::not_run, keep_alive);
        co_return co_await write_small(connection, refusal);
    }
    small_response answer;
    answer.version(11);
    answer.result(beast::http::status::ok);
    answer.set(beast::http::field::content_type, "application/json");
    answer.keep_alive(keep_alive);
    answer.body() = *found;
    co_return co_await write_small(connection, answer);
}

/// The service is the first label of the Host header: "ledger" or "ledger.example:80".
std::string service_of(const caller_parser& parser)
{
    const auto value = parser.get()[beast::http::field::host];
    const std::string_view host(value.data(), value.size());
    return std::string(host.substr(0, host.find_first_of(".:")));
}

std::chrono::milliseconds deadline_of(const caller_parser& parser, const service& s)
{
    const auto value = parser.get()[deadline_header];
    std::int64_t asked = 0;
    const auto [end, problem] = std::from_chars(value.data(), value.data() + value.size(), asked);
    const bool is_good = problem == std::errc{} && end == value.data() + value.size() && asked > 0;
    return is_good ? std::min(s.deadline, std::chrono::milliseconds(asked)) : s.deadline;
}

asio::awaitable<void> send_continue(caller_connection& connection, const caller_parser& parser,
                                    error_code& problem)
{
    const auto expected = parser.get()[beast::http::field::expect];
    if (beast::iequals(expected, "100-continue")) {
        beast::http::response<beast::http::empty_body> go_on(beast::http::status::continue_, 11);
        co_await beast::http::async_write(connection.stream, go_on, into(problem));
    }
}

/// Reads the first piece of the body; sets whether that is all of it.
asio::awaitable<void> read_body(caller_request& request, error_code& problem)
{
    if (request.parser->is_done()) {
        request.body_is_complete = true;
        co_return;
    }
    co_await send_continue(*request.caller, *request.parser, problem);
    const auto length = request.parser->content_length().value_or(body_piece_bytes);
    request.body.resize(std::min<std::uint64_t>(length, body_piece_bytes));
    auto& body = request.parser->get().body();
    body.data = request.body.data();
    body.size = request.body.size();
    const read_limit limit(*request.caller, body_timeout);
    co_await beast::http::async_read(request.caller->stream, request.caller->buffer,
                                     *request.parser, into(problem));
    limit.translate(problem);
    if (problem == beast::http::error::need_buffer) {
        problem = {};
    }
    request.body.resize(request.body.size() - body.size);
    request.body_is_complete = request.parser->is_done();
}

/// The reason to refuse a request before its body is read, or ok.
result_code check_request(const worker& w, const std::string& service)
{
    if (!w.snapshot || !w.snapshot->ready) {
        return result_code::host_not_ready;
    }
    if (!w.snapshot->services.contains(service)) {
        return result_code::service_unknown;
    }
    return result_code::ok;
}

caller_request make_request(const worker& w, caller_connection& connection, caller_parser& parser,
                            const std::string& name)
{
    const auto& definition = w.snapshot->services.find(name)->second.definition;
    const auto method = parser.get().method_string();
    const auto path = parser.get().target();
    caller_request request;
    request.caller = &connection;
    request.parser = &parser;
    request.service = name;
    request.deadline = clock::now() + deadline_of(parser, definition);
    request.repeatable =
        is_repeatable(definition, {method.data(), method.size()}, {path.data(), path.size()});
    request.is_spilled = is_spilled(w, name, parser.get());
    request.keep_alive = parser.get().keep_alive() && !w.stopping && !w.snapshot->leaving;
    return request;
}

asio::awaitable<bool> refuse(worker& w, caller_connection& connection, result_code code,
                             outcome what, bool keep_alive)
{
    auto refusal = make_refusal(w, code, what, keep_alive);
    co_return co_await write_small(connection, refusal);
}

request_fingerprint fingerprint_of(const caller_request& request)
{
    const auto& head = request.parser->get();
    std::string text = request.service + " ";
    text += head.method_string();
    text += ' ';
    text += head.target();
    text += request.body;
    return XXH3_64bits(text.data(), text.size());
}

asio::awaitable<claimed_end> run(worker& w, caller_request& request)
{
    request.fingerprint = fingerprint_of(request);
    if (w.snapshot->quarantined.contains(request.fingerprint)) {
        const forward_end refused{
            result_code::request_quarantined, outcome::not_run, false, true, {}};
        co_return claimed_end{refused, std::nullopt};
    }
    if (!request.repeatable && !request.is_spilled) {
        co_return co_await forward_claimed(w, request);
    }
    auto end = co_await forward(w, request);
    co_return claimed_end{std::move(end), std::nullopt};
}

/// Gives the first answer to a caller that asked again.
asio::awaitable<bool> replay(worker& w, caller_connection& connection, claim_answer kept,
                             bool keep_alive)
{
    small_response answer;
    answer.version(11);
    answer.result(kept.status);
    answer.set(beast::http::field::content_type, kept.content_type);
    answer.set(outcome_header, name_of(outcome::ran));
    answer.set(result_header, "0");
    answer.set(replayed_header, "yes");
    answer.set(host_header, w.context.host.value);
    answer.keep_alive(keep_alive);
    answer.body() = std::move(kept.body);
    co_return co_await write_small(connection, answer);
}

/// Serves one proxied request. False if the connection cannot carry another one.
asio::awaitable<bool> serve_request(worker& w, caller_connection& connection, caller_parser& parser)
{
    const auto start = clock::now();
    const auto service = service_of(parser);
    const auto refused = check_request(w, service);
    if (refused != result_code::ok) {
        count(w, "", refused, start);
        const bool keep_alive = parser.is_done() && parser.get().keep_alive();
        co_return co_await refuse(w, connection, refused, outcome::not_run, keep_alive);
    }
    auto request = make_request(w, connection, parser, service);
    error_code problem;
    co_await read_body(request, problem);
    if (problem) {
        const auto code = code_of_read_failure(problem);
        count(w, service, code, start);
        co_return co_await refuse(w, connection, code, outcome::not_run, false);
    }
    const auto [end, replayed] = co_await run(w, request);
    count(w, service, end.code, start);
    if (replayed) {
        co_return co_await replay(w, connection, *replayed, request.keep_alive);
    }
    if (end.answered || end.code == result_code::caller_gone) {
        co_return end.caller_usable;
    }
    const bool keep_alive = request.keep_alive && request.body_is_complete;
    co_return co_await refuse(w, connection, end.code, end.what, keep_alive);
}

/// Waits for the first byte of the next request. False if the caller has closed or stayed idle.
asio::awaitable<bool> wait_for_request(worker& w, caller_connection& connection)
{
    if (connection.buffer.size() != 0) {
        co_return true;
    }
    if (w.stopping) {
        co_return false;
    }
    error_code problem;
    connection.stream.expires_after(idle_timeout);
    const auto got = co_await connection.stream.async_read_some(
        connection.buffer.prepare(read_ahead_bytes), into(problem));
    connection.buffer.commit(got);
    co_return !problem;
}

asio::awaitable<void> read_header(caller_connection& connection, caller_parser& parser,
                                  error_code& problem)
{
    const read_limit limit(connection, header_timeout);
    co_await beast::http::async_read_header(connection.stream, connection.buffer, parser,
                                            into(problem));
    limit.translate(problem);
}

/// Reads and serves one request. False if the connection is to be closed.
asio::awaitable<bool> serve_next(worker& w, caller_connection& connection)
{
    caller_parser parser;
    parser.header_limit(max_request_header_bytes);
    parser.body_limit(boost::none);
    error_code problem;
    co_await read_header(connection, parser, problem);
    if (problem && is_plain_close(problem)) {
        co_return false;
    }
    if (problem) {
        const auto code = code_of_read_failure(problem);
        count(w, "", code, clock::now());
        co_return co_await refuse(w, connection, code, outcome::not_run, false);
    }
    const auto target = parser.get().target();
    if (std::string_view(target.data(), target.size()).starts_with(lookup_path)) {
        co_return co_await answer_lookup(w, connection, parser);
    }
    co_return co_await serve_request(w, connection, parser);
}

} // namespace

asio::awaitable<void> serve_caller(worker& w, caller_connection& connection)
{
    error_code ignored;
    connection.stream.socket().set_option(tcp::no_delay(true), ignored);
    bool usable = co_await wait_for_request(w, connection);
    while (usable) {
        connection.in_request = true;
        usable = co_await serve_next(w, connection);
        connection.in_request = false;
        if (usable) {
            usable = co_await wait_for_request(w, connection);
        }
    }
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace almondquay
