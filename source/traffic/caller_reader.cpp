#include "traffic/caller_reader.h"

#include <algorithm>
#include <memory>

namespace almondquay {

namespace {

/// Maximum number of requests of one connection that are processed at the same time.
constexpr std::uint64_t max_pipelined = 16;
/// How long to wait for the caller to close its side after ours was shut down. Closing with data
/// still in transit would reset the connection before the last response has arrived.
constexpr std::chrono::milliseconds linger_time{1'000};
constexpr std::chrono::seconds body_timeout{30};
/// Size of a single read while waiting for a request, and while discarding the rest of a body after
/// a refusal so that the response arrives before the connection closes.
constexpr std::size_t read_ahead_bytes = 4UL * 1024;

asio::awaitable<void> send_continue(caller_connection& connection, const caller_parser& parser,
                                    error_code& problem)
{
    const auto expected = parser.get()[beast::http::field::expect];
    if (beast::iequals(expected, "100-continue")) {
        beast::http::response<beast::http::empty_body> continue_response(
            beast::http::status::continue_, 11);
        co_await beast::http::async_write(connection.stream, continue_response,
                                          redirect_error_to(problem));
    }
}

/// Closes an idle connection after a timeout, but only while none of its requests is active.
class idle_timeout {
public:
    idle_timeout(caller_connection& connection, std::chrono::milliseconds limit)
        : state_(boost::intrusive_ptr<shared_state>(new shared_state(connection, limit)))
    {
        arm(state_);
    }
    ~idle_timeout()
    {
        state_->connection = nullptr;
        state_->timer.cancel();
    }
    idle_timeout(const idle_timeout&) = delete;
    idle_timeout& operator=(const idle_timeout&) = delete;

private:
    struct shared_state : boost::intrusive_ref_counter<shared_state, boost::thread_unsafe_counter> {
        shared_state(caller_connection& c, std::chrono::milliseconds l)
            : connection(&c), limit(l), timer(c.stream.get_executor())
        {
        }

        caller_connection* connection;
        std::chrono::milliseconds limit;
        asio::steady_timer timer;
    };

    static void arm(const boost::intrusive_ptr<shared_state>& state)
    {
        state->timer.expires_after(state->limit);
        state->timer.async_wait([state](const error_code& problem) {
            if (problem || state->connection == nullptr) {
                return;
            }
            // A busy thread may handle the timeout before a request that has arrived already.
            if (state->connection->is_busy() || has_unread_data(*state->connection)) {
                arm(state);
                return;
            }
            state->connection->closing = true;
            state->connection->stream.cancel();
        });
    }

    boost::intrusive_ptr<shared_state> state_;
};

} // namespace

std::chrono::milliseconds body_read_timeout(const caller_request& request)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        request.deadline - std::chrono::steady_clock::now());
    return std::clamp(left, std::chrono::milliseconds{0}, std::chrono::milliseconds{body_timeout});
}

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

bool is_disconnect(const error_code& problem)
{
    return problem == beast::http::error::end_of_stream ||
           problem == beast::http::error::partial_message ||
           problem.category() == boost::asio::error::get_system_category() ||
           problem == asio::error::eof;
}

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
    const read_timeout limit(*request.caller, body_read_timeout(request));
    co_await beast::http::async_read(request.caller->stream, request.caller->buffer,
                                     *request.parser, redirect_error_to(problem));
    limit.translate(problem);
    if (problem == beast::http::error::need_buffer) {
        problem = {};
    }
    request.body.resize(request.body.size() - body.size);
    request.body_is_complete = request.parser->is_done();
}

asio::awaitable<bool> wait_for_request(worker& w, caller_connection& connection)
{
    while (connection.next_turn - connection.current_turn >= max_pipelined && !connection.gone) {
        co_await wait_for_change(connection);
    }
    if (connection.closing || connection.gone) {
        co_return false;
    }
    if (connection.buffer.size() != 0) {
        co_return true;
    }
    if (w.stopping && routes_requests(connection.role) && !connection.is_busy()) {
        co_return false;
    }
    error_code problem;
    const auto limit = w.snapshot ? w.snapshot->limits.idle_time : caller_limits().idle_time;
    const idle_timeout idle(connection, limit);
    connection.stream.expires_never();
    const auto got = co_await connection.stream.async_read_some(
        connection.buffer.prepare(read_ahead_bytes), redirect_error_to(problem));
    connection.buffer.commit(got);
    if (problem && !connection.closing) {
        mark_gone(connection);
    }
    co_return !problem && !connection.closing;
}

asio::awaitable<void> read_request_header(const worker& w, caller_connection& connection,
                                          caller_parser& parser, error_code& problem)
{
    const auto& limits = w.snapshot ? w.snapshot->limits : caller_limits();
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    const read_timeout limit(connection, limits.header_time);
    co_await beast::http::async_read_header(connection.stream, connection.buffer, parser,
                                            redirect_error_to(problem));
    limit.translate(problem);
}

asio::awaitable<void> linger(caller_connection& connection)
{
    error_code problem;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, problem);
    connection.stream.expires_after(linger_time);
    connection.buffer.clear();
    while (!problem) {
        connection.buffer.clear();
        co_await connection.stream.async_read_some(connection.buffer.prepare(read_ahead_bytes),
                                                   redirect_error_to(problem));
    }
}

} // namespace almondquay
