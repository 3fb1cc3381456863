#include "http/server.h"

#include <array>
#include <csignal>
#include <iostream>
#include <memory>
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

#include <tclap/CmdLine.h>

/// Fake of the network between two endpoints: a TCP relay. POST /control?fault=NAME at its control
/// address injects a fault: silence (open connections stop forwarding, new ones work), cut (closes
/// all connections and, until heal, each new one), reset (resets all connections), delay (until
/// heal, forwards each read only after `forward_delay`), oneway (until heal, a connection stops
/// forwarding once an answer arrives on it); heal ends cut, delay and oneway.
namespace {

namespace asio = boost::asio;
namespace http = almondquay::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::chrono::milliseconds forward_delay{150};

struct relayed_connection {
    explicit relayed_connection(asio::io_context& io) : in(io), out(io) {}
    tcp::socket in;
    tcp::socket out;
    bool silent = false;
};

using relayed_connection_ptr = std::shared_ptr<relayed_connection>;

struct relay {
    asio::io_context io{1};
    tcp::endpoint to;
    std::vector<std::weak_ptr<relayed_connection>> open;
    bool cut = false;
    bool one_way = false; ///< a connection stops forwarding when an answer arrives on it
    std::chrono::milliseconds delay{0};
};

auto into(error_code& problem)
{
    return asio::redirect_error(asio::use_awaitable, problem);
}

asio::awaitable<void> pump(relay& state, relayed_connection_ptr r, tcp::socket& from,
                           tcp::socket& to)
{
    const bool is_answer = &from == &r->out;
    asio::steady_timer pause(state.io);
    std::array<char, 65536> buffer{};
    error_code problem;
    while (!problem) {
        const auto size = co_await from.async_read_some(asio::buffer(buffer), into(problem));
        if (!problem && state.delay.count() != 0) {
            pause.expires_after(state.delay);
            co_await pause.async_wait(into(problem));
        }
        r->silent = r->silent || (state.one_way && is_answer);
        if (!problem && !r->silent) {
            co_await asio::async_write(to, asio::buffer(buffer.data(), size), into(problem));
        }
    }
    if (!r->silent) {
        from.close(problem);
        to.close(problem);
    }
}

asio::awaitable<void> start_relaying(relay& state, relayed_connection_ptr r)
{
    error_code problem;
    co_await r->out.async_connect(state.to, into(problem));
    if (problem) {
        co_return;
    }
    r->in.set_option(tcp::no_delay(true), problem);
    r->out.set_option(tcp::no_delay(true), problem);
    asio::co_spawn(state.io, pump(state, r, r->in, r->out), asio::detached);
    asio::co_spawn(state.io, pump(state, r, r->out, r->in), asio::detached);
}

asio::awaitable<void> listen(relay& state, tcp::endpoint at)
{
    tcp::acceptor acceptor(state.io, at);
    while (true) {
        const auto r = std::make_shared<relayed_connection>(state.io);
        error_code problem;
        co_await acceptor.async_accept(r->in, into(problem));
        if (!problem && !state.cut) {
            state.open.push_back(r);
            asio::co_spawn(state.io, start_relaying(state, r), asio::detached);
        }
    }
}

void close_all(relay& state, bool with_reset)
{
    for (const auto& weak : state.open) {
        if (const auto r = weak.lock()) {
            error_code ignored;
            if (with_reset) { // Closing with a linger time of 0 sends a RST.
                r->in.set_option(asio::socket_base::linger(true, 0), ignored);
                r->out.set_option(asio::socket_base::linger(true, 0), ignored);
            }
            r->in.close(ignored);
            r->out.close(ignored);
        }
    }
    state.open.clear();
}

void control(relay& state, const http::request& request, const http::responder& respond)
{
    const auto parts = http::split_path(request.path);
    const auto fault = http::header_of(parts.parameters, "fault");
    if (fault == "silence") {
        for (const auto& weak : state.open) {
            if (const auto r = weak.lock()) {
                r->silent = true;
            }
        }
    } else if (fault == "cut") {
        state.cut = true;
        close_all(state, false);
    } else if (fault == "reset") {
        close_all(state, true);
    } else if (fault == "delay") {
        state.delay = forward_delay;
    } else if (fault == "oneway") {
        state.one_way = true;
    } else {
        state.cut = false;
        state.one_way = false;
        state.delay = {};
    }
    respond({http::status_ok, {}, {}});
}

tcp::endpoint to_tcp(const std::string& text)
{
    const auto parsed = almondquay::value_of(almondquay::parse_endpoint(text));
    return {asio::ip::make_address(parsed.address), parsed.port};
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("fake_relay: a stand-in for the network between two ends");
    TCLAP::ValueArg<std::string> at("l", "listen", "address", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::string> to("", "to", "address to forward to", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::string> control_at("", "control", "address", true, "", "IP:PORT", line);
    line.parse(argc, argv);
    relay state;
    state.to = to_tcp(to.getValue());
    asio::co_spawn(state.io, listen(state, to_tcp(at.getValue())), asio::detached);
    const auto server = http::server::create(
        state.io, almondquay::value_of(almondquay::parse_endpoint(control_at.getValue())),
        [&state](const http::request& r, const http::responder& respond) {
            control(state, r, respond);
        });
    asio::signal_set signals(state.io, SIGTERM, SIGINT);
    signals.async_wait([&state](const error_code&, int) { state.io.stop(); });
    state.io.run();
    return almondquay::succeeded(server) ? 0 : 1;
}
