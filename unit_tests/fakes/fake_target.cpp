#include "common/endpoint.h"
#include "http/message.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <tclap/CmdLine.h>

/// Fake target with a few slots. Query parameters select work and faults: ms (processing time),
/// bytes (size of the answer), fault, endless (an endless answer until the other end closes; see
/// `endless_shapes`). Faults are cut (a truncated answer), never (no answer), garbage (an answer
/// that is not HTTP), twice (two answers to one request), repeat (like shed, and the same refusal
/// once more when the next request arrives on the connection), head0 to head2 (closes in the middle
/// of the answer's header), drop (closes the connection without an answer), exit (the process
/// exits), shed (a 503 that declares the request not executed) and shaped (an answer with the given
/// start, line and body, also to health probes; see `shaped_answer`). With an id it follows the
/// protocol of the users' platform: it rejects requests that name another target, and its answers
/// carry the request's id and its load. GET /state?limit=L&leaving=1&pause=S sets what it states
/// about itself from then on: the requests a second that it takes, that it is leaving, and a pause
/// that it asks for with each 503 ("-" ends a statement). It counts executions by idempotency key,
/// so that tests can check at-most-once execution.
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
namespace message = almondquay::http;

struct target {
    std::string id; ///< if not empty, follows the protocol of the users' platform
    asio::io_context io{1};
    std::uint32_t slots = 3;
    std::uint32_t in_flight = 0;
    std::uint32_t most_in_flight = 0;
    std::uint64_t runs = 0;
    std::uint64_t over_limit = 0;
    std::uint64_t cancelled = 0;
    std::uint32_t connections = 0;
    std::uint32_t most_connections = 0;
    std::map<std::string, std::uint64_t> runs_by_key;
    /// By connection: a refusal that is sent once more when the next request arrives.
    std::map<const tcp::socket*, std::string> repeated_refusal;
    std::string limit;   ///< stated in all answers unless empty
    std::string leaving; ///< likewise
    std::string pause;   ///< if not empty, requests are turned away with this Retry-After
    std::chrono::steady_clock::time_point state_set;
    std::vector<std::chrono::steady_clock::time_point> arrivals; ///< since `state_set`
    std::string endless_health; ///< if not empty, the shape of endless answers to health probes
    std::string runs_file;      ///< file for keys of non-GET requests; kept over restarts
};

/// By then all callers have been told what the target states.
constexpr std::chrono::seconds told_after{3};

struct in_flight_guard {
    explicit in_flight_guard(target& owner) : t(owner)
    {
        ++t.in_flight;
        t.most_in_flight = std::max(t.most_in_flight, t.in_flight);
        t.over_limit += t.in_flight > t.slots ? 1 : 0;
    }
    ~in_flight_guard() { --t.in_flight; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

    target& t;
};

auto into(error_code& problem)
{
    return asio::redirect_error(asio::use_awaitable, problem);
}

std::uint64_t number_parameter(const message::path_parts& parts, std::string_view name,
                               std::uint64_t fallback)
{
    const auto value = std::string(message::header_of(parts.parameters, name));
    return value.empty() ? fallback : std::stoull(value);
}

/// The most requests that arrived within any 4 s, from `after` on.
std::size_t most_in_window(const target& t, std::chrono::milliseconds after)
{
    constexpr std::chrono::seconds window{4};
    std::size_t most = 0;
    const auto from = t.state_set + after;
    for (auto first = std::ranges::lower_bound(t.arrivals, from); first != t.arrivals.end();
         ++first) {
        const auto last = std::ranges::upper_bound(t.arrivals, *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

std::string stats(const target& t)
{
    std::uint64_t repeated = 0;
    for (const auto& [key, runs] : t.runs_by_key) {
        repeated += runs > 1 ? 1 : 0;
    }
    return "runs " + std::to_string(t.runs) + "\nin_flight " + std::to_string(t.in_flight) +
           "\nmost_in_flight " + std::to_string(t.most_in_flight) + "\nover_limit " +
           std::to_string(t.over_limit) + "\nkeys " + std::to_string(t.runs_by_key.size()) +
           "\nrepeated_keys " + std::to_string(repeated) + "\ncancelled " +
           std::to_string(t.cancelled) + "\nmost_connections " +
           std::to_string(t.most_connections) + "\narrivals " + std::to_string(t.arrivals.size()) +
           "\nmost_in_4s " + std::to_string(most_in_window(t, told_after)) + "\n";
}

/// One line per execution of each key, so that tests can count executions across all targets.
std::string keys(const target& t)
{
    std::string text;
    for (const auto& [key, runs] : t.runs_by_key) {
        for (std::uint64_t i = 0; i < runs; ++i) {
            text += key + "\n";
        }
    }
    return text;
}

void set_state(target& t, const message::path_parts& parts)
{
    const auto set = [&](std::string_view name, std::string& value) {
        const auto given = std::string(message::header_of(parts.parameters, name));
        if (!given.empty()) {
            value = given == "-" ? "" : given;
        }
    };
    set("limit", t.limit);
    set("leaving", t.leaving);
    set("pause", t.pause);
    t.arrivals.clear();
    t.state_set = std::chrono::steady_clock::now();
}

/// The header lines in which the target states its limit and that it is leaving.
std::string statements(const target& t)
{
    return (t.limit.empty() ? "" : "Server-Limit: " + t.limit + "\r\n") +
           (t.leaving.empty() ? "" : "Server-Leaving: " + t.leaving + "\r\n");
}

std::string head(std::uint64_t length, std::string_view echo)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nEcho: " + std::string(echo) +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

asio::awaitable<void> write_text(tcp::socket& socket, std::string text, error_code& problem)
{
    co_await asio::async_write(socket, asio::buffer(text), into(problem));
}

asio::awaitable<void> write_answer(tcp::socket& socket, std::uint64_t bytes, std::string echo,
                                   error_code& problem)
{
    constexpr std::uint64_t piece_bytes = 64 * 1024;
    const std::string piece(std::min(bytes, piece_bytes), 'x');
    if (bytes <= piece_bytes) {
        co_await write_text(socket, head(bytes, echo) + piece, problem);
        co_return;
    }
    co_await write_text(socket, head(bytes, echo), problem);
    for (std::uint64_t left = bytes; left > 0 && !problem;) {
        const auto size = std::min(left, piece_bytes);
        co_await asio::async_write(socket, asio::buffer(piece.data(), size), into(problem));
        left -= size;
    }
}

/// Waits for `time`. Returns false, and counts a cancellation, if the socket becomes readable
/// first, which is taken to mean that the other end has closed it.
asio::awaitable<bool> simulate_work(target& t, tcp::socket& socket, std::chrono::milliseconds time)
{
    if (time.count() == 0) {
        co_return true;
    }
    asio::steady_timer timer(t.io, time);
    const auto peer_closed = std::make_shared<bool>(false);
    socket.async_wait(tcp::socket::wait_read, [peer_closed, &timer](const error_code& problem) {
        if (!problem) {
            *peer_closed = true;
            timer.cancel();
        }
    });
    error_code ignored;
    co_await timer.async_wait(into(ignored));
    socket.cancel(ignored);
    co_await asio::post(t.io, asio::use_awaitable);
    t.cancelled += *peer_closed ? 1 : 0;
    co_return !*peer_closed;
}

/// An endless answer: its beginning, and the text that is repeated until the connection closes.
struct endless_shape {
    std::string_view name;
    std::string_view begin;
    std::string_view repeated;
};

constexpr std::string_view chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::array endless_shapes{
    endless_shape{"status", "HTTP/1.1 200 ", "very "},
    endless_shape{"header", "HTTP/1.1 200 OK\r\nX-Long: ", "value "},
    endless_shape{"headers", "HTTP/1.1 200 OK\r\n", "X-More: value\r\n"},
    endless_shape{"interim", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    endless_shape{"extension", chunked_head, "1;name=value"},
    endless_shape{"chunksize", chunked_head, "f"},
    endless_shape{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                  "X-More: value\r\n"},
    endless_shape{"body", "HTTP/1.1 200 OK\r\n\r\n", "body "},
    endless_shape{"extra", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "extra "},
    endless_shape{"nul", "", std::string_view("\0", 1)},
};

asio::awaitable<void> serve_endless(tcp::socket& socket, std::string name, std::string extra,
                                    error_code& problem)
{
    const auto found = std::ranges::find(endless_shapes, name, &endless_shape::name);
    if (found == endless_shapes.end()) {
        problem = asio::error::invalid_argument;
        co_return;
    }
    std::string begin(found->begin);
    if (const auto line = begin.find("\r\n"); line != std::string::npos) {
        begin.insert(line + 2, extra);
    }
    constexpr std::size_t piece_bytes = 16 * 1024;
    std::string piece;
    while (piece.size() < piece_bytes) {
        piece += found->repeated;
    }
    co_await write_text(socket, begin, problem);
    while (!problem) {
        co_await asio::async_write(socket, asio::buffer(piece), into(problem));
    }
}

/// An answer made of query parameters: start (the start of the status line), line (what follows the
/// other header lines, unless empty), body, bytes (how many more of it follow) and end (what
/// follows these). Line ends in them are percent-encoded.
std::string shaped_answer(const message::path_parts& parts, const std::string& id_line)
{
    const auto given = [&](std::string_view name) {
        return std::string(message::header_of(parts.parameters, name));
    };
    const auto start = given("start");
    const auto line = given("line");
    return (start.empty() ? "HTTP/1.1 200" : start) + " Shaped\r\n" + id_line +
           "X-Response-Seal: s\r\n" + line + (line.empty() ? "\r\n" : "\r\n\r\n") + given("body") +
           std::string(number_parameter(parts, "bytes", 0), 'x') + given("end");
}

/// `id_line` is the header line with the request's id, for faulty answers that must match
/// this request.
asio::awaitable<void> serve_faulty(target& t, tcp::socket& socket, std::string fault,
                                   std::string id_line, error_code& problem)
{
    constexpr std::uint64_t declared_length = 1000;
    if (fault == "exit") {
        std::_Exit(1);
    }
    if (fault == "never") {
        co_await simulate_work(t, socket, std::chrono::hours(1));
    } else if (fault == "garbage") {
        co_await write_text(socket, "\x01\x02 not http at all\r\n\r\n", problem);
    } else if (fault == "cut") {
        co_await write_text(
            socket,
            head(declared_length, "cut\r\n" + id_line.substr(0, id_line.size() - 2)) + "half",
            problem);
    } else if (fault.starts_with("head")) {
        constexpr std::array<std::string_view, 3> lines{"Content-Length: 0\r\n", "Content-Le", ""};
        const auto last = lines.at(static_cast<std::size_t>(fault.back() - '0'));
        co_await write_text(
            socket, "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n" + id_line + std::string(last),
            problem);
    } else if (fault == "repeat") {
        t.repeated_refusal[&socket] = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" +
                                      id_line + "Content-Length: 0\r\n\r\n";
        co_await write_text(socket, t.repeated_refusal[&socket], problem);
        co_return;
    } else if (fault == "shed") {
        co_await write_text(socket,
                            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + id_line +
                                "Content-Length: 0\r\n\r\n",
                            problem);
        co_return;
    } else if (fault == "twice") {
        co_await write_text(socket, head(3, "one") + "one" + head(3, "two") + "two", problem);
        co_return;
    }
    problem = asio::error::connection_aborted; // "drop" only closes the connection.
}

asio::awaitable<void> serve_one(target& t, tcp::socket& socket,
                                const beast::http::request<beast::http::string_body>& request,
                                error_code& problem)
{
    const auto path = request.target();
    const auto parts = message::split_path({path.data(), path.size()});
    if (parts.path == "/stats" || parts.path == "/keys") {
        const auto text = parts.path == "/stats" ? stats(t) : keys(t);
        co_await write_text(socket, head(text.size(), "") + text, problem);
        co_return;
    }
    if (parts.path == "/healthz" && !t.endless_health.empty()) {
        co_await serve_endless(socket, t.endless_health, "", problem);
        co_return;
    }
    const auto fault = std::string(message::header_of(parts.parameters, "fault"));
    if (parts.path == "/healthz") {
        const auto answer = fault == "shaped" ? shaped_answer(parts, "") : head(0, "");
        co_await write_text(socket, answer, problem);
        co_return;
    }
    if (parts.path == "/state") {
        set_state(t, parts);
        co_await write_text(socket, head(0, ""), problem);
        co_return;
    }
    auto id_line = "X-Request-Id: " + std::string(request["X-Request-Id"]) + "\r\n";
    id_line += statements(t);
    const auto expected = request["X-Expect-Instance"];
    if (!t.id.empty() && !expected.empty() && expected != t.id) {
        co_await write_text(
            socket, "HTTP/1.1 421 Misdirected Request\r\n" + id_line + "Content-Length: 0\r\n\r\n",
            problem);
        co_return;
    }
    if (const auto refusal = t.repeated_refusal.extract(&socket)) {
        co_await write_text(socket, refusal.mapped(), problem);
    }
    t.arrivals.push_back(std::chrono::steady_clock::now());
    if (!t.pause.empty()) {
        co_await write_text(socket,
                            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                            "Retry-After: " +
                                t.pause + "\r\n" + id_line + "Content-Length: 0\r\n\r\n",
                            problem);
        co_return;
    }
    const in_flight_guard guard(t);
    ++t.runs;
    const auto key = request["Idempotency-Key"];
    if (!key.empty()) {
        ++t.runs_by_key[std::string(key)];
        if (!t.runs_file.empty() && request.method() != beast::http::verb::get) {
            std::ofstream(t.runs_file, std::ios::app) << key << '\n';
        }
    }
    if (!co_await simulate_work(t, socket,
                                std::chrono::milliseconds(number_parameter(parts, "ms", 0)))) {
        problem = asio::error::eof;
        co_return;
    }
    if (fault == "shaped") {
        co_await write_text(socket, shaped_answer(parts, id_line), problem);
        problem = asio::error::connection_aborted;
        co_return;
    }
    if (!fault.empty()) {
        co_await serve_faulty(t, socket, fault, id_line, problem);
        co_return;
    }
    const auto endless = std::string(message::header_of(parts.parameters, "endless"));
    if (!endless.empty()) {
        co_await serve_endless(socket, endless, id_line, problem);
        co_return;
    }
    auto echo = std::string(message::header_of(parts.parameters, "echo"));
    if (!t.id.empty()) {
        echo += "\r\n" + id_line.substr(0, id_line.size() - 2) + "\r\nX-Response-Seal: " + t.id +
                "\r\nX-Server-Load: " + std::to_string(t.in_flight) + ",0," +
                std::to_string(t.slots);
    }
    co_await write_answer(socket, number_parameter(parts, "bytes", 100), echo, problem);
}

asio::awaitable<void> serve(target& t, tcp::socket socket)
{
    ++t.connections;
    t.most_connections = std::max(t.most_connections, t.connections);
    error_code problem;
    socket.set_option(tcp::no_delay(true), problem);
    beast::flat_buffer buffer;
    while (!problem) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(boost::none);
        co_await beast::http::async_read(socket, buffer, parser, into(problem));
        if (!problem) {
            const bool keep_alive = parser.get().keep_alive();
            co_await serve_one(t, socket, parser.get(), problem);
            if (!keep_alive) {
                break;
            }
        }
    }
    --t.connections;
    t.repeated_refusal.erase(&socket);
}

asio::awaitable<void> listen(target& t, almondquay::endpoint at)
{
    tcp::acceptor acceptor(t.io, {asio::ip::make_address(at.address), at.port});
    while (true) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(t.io, serve(t, std::move(socket)), asio::detached);
    }
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command_line("fake_target: a stand-in for a target with a few slots");
    TCLAP::ValueArg<std::string> at("l", "listen", "address", true, "", "IP:PORT", command_line);
    TCLAP::ValueArg<std::uint32_t> slots("", "slots", "slots", false, 3, "N", command_line);
    TCLAP::ValueArg<std::string> id("", "id", "id on the users' platform", false, "", "ID",
                                    command_line);
    TCLAP::ValueArg<std::string> runs("", "runs", "file for the keys of executed requests", false,
                                      "", "FILE", command_line);
    TCLAP::ValueArg<std::string> health("", "endless-health", "answer health probes without end",
                                        false, "", "SHAPE", command_line);
    command_line.parse(argc, argv);
    target t;
    t.endless_health = health.getValue();
    t.runs_file = runs.getValue();
    t.id = id.getValue();
    t.slots = slots.getValue();
    asio::co_spawn(t.io, listen(t, almondquay::value_of(almondquay::parse_endpoint(at.getValue()))),
                   asio::detached);
    asio::signal_set signals(t.io, SIGTERM, SIGINT);
    signals.async_wait([&t](const error_code&, int) { t.io.stop(); });
    t.io.run();
    return 0;
}
