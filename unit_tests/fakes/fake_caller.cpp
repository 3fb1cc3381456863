#include "caller_report.h"

#include "common/endpoint.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

/// Fake caller: looks up entry hosts, caches the lookup for its time to live, sends requests at a
/// given rate and checks each answer. With --direct it calls fixed addresses without a lookup.
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using clock_type = std::chrono::steady_clock;

constexpr std::chrono::seconds request_timeout{5};
constexpr std::chrono::milliseconds lookup_poll_interval{5};
constexpr std::chrono::milliseconds lookup_timeout{500};

struct options {
    std::vector<almondquay::endpoint> seeds;
    std::vector<almondquay::endpoint> direct;
    std::string service;
    std::string path;
    std::string method;
    std::string block;
    double rate = 0;
    double seconds = 0;
    std::uint64_t bytes = 0;
    unsigned connections = 1;
    unsigned resends = 0;
    bool keys = false;
    bool unchecked = false;
    bool registry = false; ///< uses the lookups and headers of the users' platform
    std::string refused_file;
};

struct weighted_host {
    almondquay::endpoint address;
    unsigned weight = 0;
};

struct caller {
    asio::io_context io{1};
    options opts;
    caller_report report;
    std::vector<weighted_host> hosts;
    clock_type::time_point hosts_expire{};
    clock_type::time_point start;
    clock_type::time_point end;
    std::uint64_t sent = 0;
    std::mt19937_64 random{1};
};

struct connection {
    explicit connection(asio::io_context& io) : stream(io) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    almondquay::endpoint to;
};

using connection_ptr = std::unique_ptr<connection>;

auto into(error_code& problem)
{
    return asio::redirect_error(asio::use_awaitable, problem);
}

std::string random_key(caller& c)
{
    // RFC 9562 version 7: 48 bits of milliseconds, then version, variant and random bits.
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
    std::array<char, 96> text{};
    const auto a = c.random();
    const auto b = c.random();
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                  static_cast<unsigned long long>(ms) >> 16U,
                  static_cast<unsigned long long>(ms) & 0xffffU,
                  static_cast<unsigned long long>(a) & 0xfffU,
                  static_cast<unsigned long long>(a >> 12U) & 0xfffU,
                  static_cast<unsigned long long>(b) & 0xffffffffffffU);
    return text.data();
}

asio::awaitable<connection_ptr> open(caller& c, almondquay::endpoint to,
                                     std::chrono::milliseconds timeout, error_code& problem)
{
    auto fresh = std::make_unique<connection>(c.io);
    fresh->to = to;
    fresh->stream.expires_after(timeout);
    const tcp::endpoint address(asio::ip::make_address(to.address), to.port);
    co_await fresh->stream.async_connect(address, into(problem));
    if (!problem) {
        fresh->stream.socket().set_option(tcp::no_delay(true), problem);
    }
    co_return fresh;
}

void update_hosts(caller& c, const std::string& body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (c.opts.registry && answer.is_object()) {
        c.hosts.clear();
        for (const auto& address : answer["addresses"]) {
            const auto parsed = almondquay::parse_endpoint(address.get<std::string>());
            c.hosts.push_back({almondquay::value_of(parsed), 1});
        }
        c.hosts_expire =
            clock_type::now() +
            std::chrono::milliseconds(static_cast<int>(answer["ttl_s"].get<double>() * 1'000));
        return;
    }
    if (!answer.is_object() || !answer.contains("hosts")) {
        return;
    }
    c.hosts.clear();
    for (const auto& host : answer["hosts"]) {
        const auto address = almondquay::parse_endpoint(host["address"].get<std::string>());
        c.hosts.push_back({almondquay::value_of(address), host["weight"].get<unsigned>()});
    }
    c.hosts_expire = clock_type::now() + std::chrono::milliseconds(answer["ttl_ms"].get<int>());
}

asio::awaitable<void> look_up(caller& c)
{
    auto seeds = c.opts.seeds;
    std::ranges::shuffle(seeds, c.random);
    for (const auto& seed : seeds) {
        error_code problem;
        auto fresh = co_await open(c, seed, lookup_timeout, problem);
        if (problem) {
            continue;
        }
        const auto path = c.opts.registry
                              ? "/-/resolve?region=north&zone=north-a&name=" + c.opts.service
                              : "/.well-known/almondquay/lookup?service=" + c.opts.service +
                                    "&block=" + c.opts.block;
        beast::http::request<beast::http::empty_body> request(beast::http::verb::get, path, 11);
        co_await beast::http::async_write(fresh->stream, request, into(problem));
        beast::http::response<beast::http::string_body> answer;
        co_await beast::http::async_read(fresh->stream, fresh->buffer, answer, into(problem));
        if (!problem && answer.result() == beast::http::status::ok) {
            update_hosts(c, answer.body());
            co_return;
        }
    }
}

/// Picks a host at random by weight. Hosts of weight 0 are picked only if there is no other, and
/// `avoid` only if it is the single host.
almondquay::endpoint pick_by_weight(caller& c, const almondquay::endpoint* avoid)
{
    std::vector<double> weights;
    for (const auto& host : c.hosts) {
        const bool is_avoided = avoid != nullptr && host.address == *avoid;
        weights.push_back(is_avoided ? 0.0 : std::max(host.weight / 1.0, 1e-6));
    }
    if (weights.empty()) {
        return {};
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return c.hosts[pick(c.random)].address;
}

asio::awaitable<almondquay::endpoint> choose_host(caller& c, const almondquay::endpoint* avoid)
{
    if (!c.opts.direct.empty()) {
        co_return c.opts.direct[c.random() % c.opts.direct.size()];
    }
    if (clock_type::now() >= c.hosts_expire) {
        c.hosts_expire = clock_type::now() + lookup_timeout; // Allows one lookup at a time.
        co_await look_up(c);
    }
    while (c.hosts.empty() && clock_type::now() < c.hosts_expire) {
        // Another connection performs the lookup.
        asio::steady_timer pause(c.io, lookup_poll_interval);
        error_code ignored;
        co_await pause.async_wait(into(ignored));
    }
    co_return pick_by_weight(c, avoid);
}

struct answer {
    error_code problem;
    bool sent = false;
    bool keep_alive = false;
    unsigned status = 0;
    std::uint64_t length = 0;
    std::string echo;
    std::string outcome;
    std::string result;
    std::string id; ///< the request id that the answer carries
    bool is_sealed = false;
};

/// Sends the request and reads the answer; discards the body, which may be of any size.
asio::awaitable<answer> call(connection& via,
                             const beast::http::request<beast::http::string_body>& request)
{
    answer a;
    via.stream.expires_after(request_timeout);
    a.sent = true;
    co_await beast::http::async_write(via.stream, request, into(a.problem));
    beast::http::response_parser<beast::http::buffer_body> parser;
    parser.body_limit(boost::none);
    if (!a.problem) {
        co_await beast::http::async_read_header(via.stream, via.buffer, parser, into(a.problem));
    }
    std::array<char, 65536> piece{};
    while (!a.problem && !parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        co_await beast::http::async_read(via.stream, via.buffer, parser, into(a.problem));
        if (a.problem == beast::http::error::need_buffer) {
            a.problem = {};
        }
        a.length += piece.size() - parser.get().body().size;
    }
    a.status = parser.get().result_int();
    a.echo = std::string(parser.get()["Echo"]);
    a.outcome = std::string(parser.get()["Almondquay-Outcome"]);
    a.result = std::string(parser.get()["Almondquay-Result"]);
    a.id = std::string(parser.get()["X-Request-Id"]);
    a.is_sealed = parser.get().count("X-Response-Seal") != 0;
    a.keep_alive = !a.problem && parser.get().keep_alive();
    co_return a;
}

/// Whether the status guarantees that the request has not run and will not run.
bool guarantees_not_run(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

void record_refusal(caller& c, const answer& a, const std::string& key)
{
    if (!a.problem && guarantees_not_run(a.status) && !c.opts.refused_file.empty()) {
        std::ofstream(c.opts.refused_file, std::ios::app) << key << '\n';
    }
}

void record_result(caller& c, const answer& a, const std::string& echo,
                   clock_type::time_point began)
{
    if (a.problem) {
        ++c.report.lost;
    } else if (a.status != 200) {
        ++c.report.refused[a.outcome + " " + a.result];
    } else if (!c.opts.unchecked && (a.echo != echo || a.length != c.opts.bytes)) {
        ++c.report.wrong;
    } else {
        ++c.report.served;
        c.report.latencies.push_back(clock_type::now() - began);
    }
}

beast::http::request<beast::http::string_body> make_request(caller& c, const std::string& echo,
                                                            const std::string& key)
{
    const auto path = c.opts.path + (c.opts.path.find('?') == std::string::npos ? "?" : "&") +
                      "bytes=" + std::to_string(c.opts.bytes) + "&echo=" + echo;
    beast::http::request<beast::http::string_body> request(
        beast::http::string_to_verb(c.opts.method), path, 11);
    request.set(beast::http::field::host, c.opts.service);
    if (!key.empty()) {
        request.set("Idempotency-Key", key);
        request.body() = c.opts.method == "GET" ? "" : "deposit";
    }
    if (c.opts.registry) {
        request.set("X-Request-Id", key);
        request.set("X-Deadline-Ms", "3000");
        request.set(beast::http::field::cookie, "X-Affinity-Key=" + std::to_string(c.sent % 10));
    }
    request.prepare_payload();
    return request;
}

/// Whether a request may be sent again to another host: it is repeatable, carries an idempotency
/// key, was not sent or is known not to have run.
bool may_resend(const caller& c, const answer& a)
{
    if (c.opts.registry) {
        return guarantees_not_run(a.status) || !a.sent ||
               (c.opts.method == "GET" && a.status != 200);
    }
    const bool unserved = a.problem || a.outcome == "not-run";
    return unserved && (c.opts.method == "GET" || c.opts.keys || !a.sent || !a.problem);
}

asio::awaitable<void> send_one(caller& c, connection_ptr& kept_connection)
{
    const auto echo = std::to_string(c.sent++);
    const auto began = clock_type::now();
    auto key = c.opts.keys ? random_key(c) : std::string();
    auto request = make_request(c, echo, key);
    answer a;
    const almondquay::endpoint* avoid = nullptr;
    almondquay::endpoint last;
    for (unsigned tries = 0; tries <= c.opts.resends; ++tries) {
        last = co_await choose_host(c, avoid);
        a = answer{};
        if (!kept_connection || kept_connection->to != last) {
            kept_connection = co_await open(c, last, request_timeout, a.problem);
        }
        if (!a.problem) {
            a = co_await call(*kept_connection, request);
        }
        if (!a.keep_alive) {
            kept_connection.reset();
        }
        record_refusal(c, a, key);
        if (!a.problem && a.status == 200 && c.opts.registry && (a.id != key || !a.is_sealed)) {
            a.echo = "another request's"; // Counted as a wrong answer.
        }
        if (!may_resend(c, a)) {
            break;
        }
        avoid = &last;
        if (c.opts.registry && tries < c.opts.resends) { // Each attempt has its own id.
            key = random_key(c);
            request = make_request(c, echo, key);
        }
    }
    record_result(c, a, echo, began);
}

asio::awaitable<void> send_all(caller& c, unsigned index)
{
    connection_ptr kept_connection;
    asio::steady_timer timer(c.io);
    const auto gap = std::chrono::duration_cast<clock_type::duration>(
        std::chrono::duration<double>(c.opts.rate > 0 ? c.opts.connections / c.opts.rate : 0));
    auto due = c.start + gap * index / c.opts.connections;
    while (due < c.end && clock_type::now() < c.end) {
        error_code ignored;
        timer.expires_at(due);
        if (c.opts.rate > 0) {
            co_await timer.async_wait(into(ignored));
        }
        co_await send_one(c, kept_connection);
        due += gap;
    }
}

std::vector<almondquay::endpoint> parse_all(const std::string& text)
{
    std::vector<almondquay::endpoint> all;
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');) {
        all.push_back(almondquay::value_of(almondquay::parse_endpoint(word)));
    }
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("fake_caller: a stand-in for callers");
    using text = TCLAP::ValueArg<std::string>;
    text seeds("", "seeds", "entry hosts for lookups", false, "", "LIST", line);
    text direct("", "direct", "addresses to call without a lookup", false, "", "LIST", line);
    text service("", "service", "service", false, "ledger", "NAME", line);
    text path("", "path", "path and query", false, "/", "PATH", line);
    text method("", "method", "method", false, "GET", "METHOD", line);
    text block("", "block", "caller's address", false, "127.1.0.1", "IP", line);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second, 0 for no limit", false, 0, "N",
                                 line);
    TCLAP::ValueArg<double> seconds("", "seconds", "duration", false, 2, "N", line);
    TCLAP::ValueArg<std::uint64_t> bytes("", "bytes", "size of answers", false, 100, "N", line);
    TCLAP::ValueArg<unsigned> connections("", "connections", "number of connections", false, 8, "N",
                                          line);
    TCLAP::ValueArg<unsigned> resends("", "resends", "retries after the first attempt", false, 2,
                                      "N", line);
    TCLAP::SwitchArg keys("", "keys", "give each request an idempotency key", line);
    TCLAP::SwitchArg unchecked("", "unchecked", "accept any answer with status 200", line);
    TCLAP::SwitchArg registry("", "registry", "use the protocol of the users' platform", line);
    text refused("", "refused", "file for the keys of refused requests", false, "", "FILE", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed", false, 1, "N", line);
    TCLAP::SwitchArg csv("", "csv", "print the results as one CSV line", line);
    line.parse(argc, argv);
    caller c;
    c.opts = {parse_all(seeds.getValue()),
              parse_all(direct.getValue()),
              service.getValue(),
              path.getValue(),
              method.getValue(),
              block.getValue(),
              rate.getValue(),
              seconds.getValue(),
              bytes.getValue(),
              connections.getValue(),
              resends.getValue(),
              keys.getValue(),
              unchecked.getValue(),
              registry.getValue(),
              refused.getValue()};
    c.random.seed(seed.getValue());
    c.start = clock_type::now();
    c.end = c.start + std::chrono::duration_cast<clock_type::duration>(
                          std::chrono::duration<double>(c.opts.seconds));
    for (unsigned i = 0; i < c.opts.connections; ++i) {
        asio::co_spawn(c.io, send_all(c, i), asio::detached);
    }
    c.io.run();
    if (csv.getValue()) {
        print_csv(c.report, c.opts.seconds);
    } else {
        print_table(c.report);
    }
    return c.report.wrong == 0 ? 0 : 1;
}
