#include "http/client.h"

#include "http/response_reader.h"
#include "logging/handler_failure.h"

#include <map>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace almondquay::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using beast_request = beast::http::request<beast::http::string_body>;
using string_parser = response_parser<beast::http::string_body>;

constexpr std::size_t max_idle_per_endpoint = 8;
/// Connections idle for longer are not reused; the peer may have dropped them.
constexpr std::chrono::seconds max_idle{20};

struct idle_connection {
    std::unique_ptr<beast::tcp_stream> stream;
    std::chrono::steady_clock::time_point since;
};

} // namespace

struct client::shared_state {
    asio::io_context* io = nullptr;
    std::map<endpoint, std::vector<idle_connection>> idle;
};

namespace {

using state_ptr = std::shared_ptr<client::shared_state>;

std::unique_ptr<beast::tcp_stream> take_idle(client::shared_state& state, const endpoint& to)
{
    auto& connections = state.idle[to];
    while (!connections.empty()) {
        auto last = std::move(connections.back());
        connections.pop_back();
        if (std::chrono::steady_clock::now() - last.since < max_idle) {
            return std::move(last.stream);
        }
    }
    return nullptr;
}

void keep_idle(client::shared_state& state, const endpoint& to,
               std::unique_ptr<beast::tcp_stream> stream)
{
    auto& connections = state.idle[to];
    if (connections.size() < max_idle_per_endpoint) {
        stream->expires_never();
        connections.push_back({std::move(stream), std::chrono::steady_clock::now()});
    }
}

beast_request to_beast(const request& r, const endpoint& to)
{
    beast_request message{beast::http::string_to_verb(r.method), r.path, 11};
    message.set(beast::http::field::host, to_string(to));
    for (const auto& h : r.headers) {
        message.insert(h.name, h.value);
    }
    message.body() = r.body;
    message.prepare_payload();
    return message;
}

/// The response without its body.
response from_beast(const beast::http::response_header<>& header)
{
    response r;
    r.status = header.result_int();
    for (const auto& f : header) {
        r.headers.push_back({std::string(f.name_string()), std::string(f.value())});
    }
    return r;
}

struct attempt {
    error_code problem;
    bool sent = false; ///< part of the request may have been sent
    bool keep_alive = false;
    std::optional<response> answer;
};

asio::awaitable<attempt> exchange(beast::tcp_stream& stream, const beast_request& message,
                                  std::size_t max_response_bytes)
{
    attempt a;
    a.sent = true;
    co_await beast::http::async_write(stream, message,
                                      asio::redirect_error(asio::use_awaitable, a.problem));
    if (a.problem) {
        co_return a;
    }
    beast::flat_buffer buffer(max_message_buffer_bytes);
    std::optional<string_parser> parser;
    const auto configure = [max_response_bytes](string_parser& p) {
        p.body_limit(max_response_bytes);
    };
    co_await read_response_header(stream, buffer, parser, configure, a.problem);
    if (a.problem) {
        co_return a;
    }
    // Taken before the body, as the parser adds trailers to the header.
    auto answer = from_beast(parser->get());
    co_await beast::http::async_read(stream, buffer, *parser,
                                     asio::redirect_error(asio::use_awaitable, a.problem));
    if (!a.problem) {
        a.keep_alive = parser->get().keep_alive() && buffer.size() == 0;
        answer.body = std::move(parser->get().body());
        a.answer = std::move(answer);
    }
    co_return a;
}

result<response> to_result(attempt&& a, const endpoint& to)
{
    if (a.answer) {
        return std::move(*a.answer);
    }
    const auto code = a.sent ? result_code::peer_answer_lost : result_code::peer_unreachable;
    return error{code, to_string(to) + ": " + a.problem.message()};
}

/// Makes one call, on an idle connection if there is one.
asio::awaitable<attempt> call(state_ptr state, endpoint to, request r,
                              std::chrono::milliseconds timeout)
{
    const auto message = to_beast(r, to);
    attempt a;
    auto stream = take_idle(*state, to);
    if (stream) {
        stream->expires_after(timeout);
        a = co_await exchange(*stream, message, r.max_response_bytes);
    }
    // The peer may have closed a reused connection in the meantime. Only GET requests are resent,
    // since any other request may already have been processed.
    const bool is_stale = a.problem && a.problem != beast::error::timeout;
    if (!stream || (is_stale && r.method == "GET")) {
        a = attempt{};
        stream = std::make_unique<beast::tcp_stream>(*state->io);
        stream->expires_after(timeout);
        const tcp::endpoint address(asio::ip::make_address(to.address), to.port);
        co_await stream->async_connect(address,
                                       asio::redirect_error(asio::use_awaitable, a.problem));
        if (!a.problem) {
            stream->socket().set_option(tcp::no_delay(true), a.problem);
            a = co_await exchange(*stream, message, r.max_response_bytes);
        }
    }
    if (a.problem == beast::error::timeout) {
        // Other connections to an unresponsive peer are most likely dead too.
        state->idle.erase(to);
    }
    if (a.answer && a.keep_alive) {
        keep_idle(*state, to, std::move(stream));
    }
    co_return a;
}

/// The handler is called whatever happens to the call, as its caller waits for the result.
asio::awaitable<void> run(state_ptr state, endpoint to, request r,
                          std::chrono::milliseconds timeout, response_handler handler)
{
    attempt a;
    a.problem = asio::error::fault;
    a.sent = true;
    try {
        a = co_await call(state, to, std::move(r), timeout);
    } catch (...) {
        log::write_failure("client call", std::current_exception());
    }
    handler(to_result(std::move(a), to));
}

} // namespace

std::unique_ptr<client> client::create(asio::io_context& io)
{
    auto state = std::make_shared<shared_state>();
    state->io = &io;
    return std::unique_ptr<client>(new client(std::move(state)));
}

client::client(std::shared_ptr<shared_state> state) : state_(std::move(state)) {}

client::~client() = default;

void client::send(const endpoint& to, request r, std::chrono::milliseconds timeout,
                  response_handler handler)
{
    asio::co_spawn(*state_->io, run(state_, to, std::move(r), timeout, std::move(handler)),
                   log::failures_of("response handler"));
}

} // namespace almondquay::http
