#include "http/server.h"

#include "http/message_parser.h"
#include "logging/handler_failure.h"

#include <chrono>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace almondquay::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::chrono::seconds request_timeout{30};
constexpr std::chrono::milliseconds accept_pause{50};

/// The response that a handler has yet to give. `signal` wakes the connection's coroutine; `answer`
/// is checked first, because the handler may respond before the coroutine waits.
struct pending_response {
    explicit pending_response(asio::io_context& io)
        : signal(io, asio::steady_timer::time_point::max())
    {
    }
    asio::steady_timer signal;
    std::optional<response> answer;
};

} // namespace

struct server::shared_state {
    explicit shared_state(asio::io_context& context) : io(context), acceptor(context) {}

    asio::io_context& io;
    tcp::acceptor acceptor;
    request_handler handler;
    server_limits limits;
    std::size_t connections = 0;
};

namespace {

using state_ptr = std::shared_ptr<server::shared_state>;
using beast_request = beast::http::request<beast::http::string_body>;

request from_beast(beast_request&& message)
{
    request r;
    r.method = std::string(message.method_string());
    r.path = std::string(message.target());
    for (const auto& f : message) {
        r.headers.push_back({std::string(f.name_string()), std::string(f.value())});
    }
    r.body = std::move(message.body());
    return r;
}

beast::http::response<beast::http::string_body> to_beast(response&& r, bool keep_alive)
{
    beast::http::response<beast::http::string_body> message;
    message.version(11);
    message.result(r.status);
    for (auto& h : r.headers) {
        message.insert(h.name, h.value);
    }
    message.keep_alive(keep_alive);
    message.body() = std::move(r.body);
    message.prepare_payload();
    return message;
}

asio::awaitable<response> respond_to(state_ptr state, request r)
{
    const auto pending = std::make_shared<pending_response>(state->io);
    state->handler(r, [pending](response answer) {
        pending->answer = std::move(answer);
        pending->signal.cancel();
    });
    error_code ignored;
    if (!pending->answer) {
        co_await pending->signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return pending->answer ? std::move(*pending->answer) : response{status_unavailable, {}, {}};
}

asio::awaitable<void> serve_requests(state_ptr state, beast::tcp_stream& stream)
{
    error_code problem;
    beast::flat_buffer buffer(max_message_buffer_bytes);
    while (!problem) {
        request_parser<beast::http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(state->limits.max_header_bytes));
        parser.body_limit(state->limits.max_body_bytes);
        stream.expires_after(request_timeout);
        co_await beast::http::async_read(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, problem));
        if (problem) {
            co_return;
        }
        const bool keep_alive = parser.get().keep_alive();
        stream.expires_never();
        auto answer = co_await respond_to(state, from_beast(parser.release()));
        const auto message = to_beast(std::move(answer), keep_alive);
        stream.expires_after(request_timeout);
        co_await beast::http::async_write(stream, message,
                                          asio::redirect_error(asio::use_awaitable, problem));
        if (!keep_alive) {
            co_return;
        }
    }
}

/// Counts a connection for as long as it is served, however that ends.
struct counted_connection {
    explicit counted_connection(state_ptr s) : state(std::move(s)) { ++state->connections; }
    ~counted_connection() { --state->connections; }
    counted_connection(const counted_connection&) = delete;
    counted_connection& operator=(const counted_connection&) = delete;

    state_ptr state;
};

asio::awaitable<void> serve_connection(state_ptr state, tcp::socket socket)
{
    const counted_connection counted(state);
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    co_await serve_requests(state, stream);
}

asio::awaitable<void> accept_connections(state_ptr state)
{
    while (state->acceptor.is_open()) {
        error_code problem;
        tcp::socket socket(state->io);
        co_await state->acceptor.async_accept(socket,
                                              asio::redirect_error(asio::use_awaitable, problem));
        if (problem == asio::error::operation_aborted) {
            co_return;
        }
        if (problem) {
            // Most likely out of file descriptors: others must be closed before more connections
            // can be accepted.
            asio::steady_timer pause(state->io, accept_pause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, problem));
            continue;
        }
        if (state->connections >= state->limits.max_connections) {
            continue; // The destructor of the socket closes it.
        }
        asio::co_spawn(state->io, serve_connection(state, std::move(socket)),
                       log::failures_of("server connection"));
    }
}

} // namespace

result<std::unique_ptr<server>> server::create(asio::io_context& io, const endpoint& at,
                                               request_handler handler, server_limits limits)
{
    auto state = std::make_shared<shared_state>(io);
    state->handler = std::move(handler);
    state->limits = limits;
    try {
        const tcp::endpoint address(asio::ip::make_address(at.address), at.port);
        state->acceptor.open(address.protocol());
        state->acceptor.set_option(tcp::acceptor::reuse_address(true));
        state->acceptor.bind(address);
        state->acceptor.listen();
    } catch (const boost::system::system_error& problem) {
        return error{result_code::usage_error, to_string(at) + ": " + problem.what()};
    }
    asio::co_spawn(io, accept_connections(state), log::failures_of("server listener"));
    return std::unique_ptr<server>(new server(std::move(state)));
}

server::server(std::shared_ptr<shared_state> state) : state_(std::move(state)) {}

server::~server()
{
    stop();
}

void server::stop()
{
    error_code ignored;
    state_->acceptor.close(ignored);
}

} // namespace almondquay::http
