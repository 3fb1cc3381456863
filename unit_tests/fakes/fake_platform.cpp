#include "http/server.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <tclap/CmdLine.h>

/// Fake of the platform's object API, where hosts store the fleet text and the claim logs:
/// versions, conditional updates, watches and rate limits. POST /control?fault=NAME&value=N injects
/// a fault.
namespace {

namespace asio = boost::asio;
namespace http = almondquay::http;
using clock_type = std::chrono::steady_clock;

struct stored_object {
    std::string body;
    std::uint64_t version = 0;
};

struct waiting_watch {
    std::string key;
    std::uint64_t known = 0;
    http::responder respond;
    std::shared_ptr<asio::steady_timer> timer;
};

/// Injected faults; each is off at 0.
struct faults {
    std::uint64_t down = 0;        ///< all calls get 503 and have no effect
    std::uint64_t silent = 0;      ///< calls get no answer and have no effect
    std::uint64_t delay_ms = 0;    ///< time before each call is carried out
    std::uint64_t lose_writes = 0; ///< number of writes that take effect without an answer
};

struct token_bucket {
    double rate = 0;
    double tokens = 0;
    clock_type::time_point last = clock_type::now();
};

struct platform {
    asio::io_context io{1};
    std::map<std::string, stored_object> objects;
    std::map<std::string, stored_object> saved; ///< as of the latest "save"; restored by "rollback"
    std::list<waiting_watch> watches;
    std::uint64_t next_version = 1;
    faults active;
    token_bucket writes;
    token_bucket reads;
    std::map<std::string, std::uint64_t> calls;
};

bool try_take_token(token_bucket& bucket)
{
    const auto now = clock_type::now();
    const std::chrono::duration<double> passed = now - bucket.last;
    bucket.last = now;
    bucket.tokens = std::min(bucket.rate, bucket.tokens + passed.count() * bucket.rate);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

http::response object_answer(const stored_object& object)
{
    return {http::status_ok, {{"ETag", '"' + std::to_string(object.version) + '"'}}, object.body};
}

void notify_watches(platform& p, const std::string& key)
{
    for (auto watch = p.watches.begin(); watch != p.watches.end();) {
        const auto object = p.objects.find(key);
        const bool is_due = watch->key == key && object != p.objects.end() &&
                            object->second.version != watch->known;
        if (!is_due) {
            ++watch;
            continue;
        }
        watch->timer->cancel();
        watch->respond(object_answer(object->second));
        watch = p.watches.erase(watch);
    }
}

void start_watch(platform& p, const std::string& key, std::uint64_t known,
                 std::chrono::milliseconds wait, const http::responder& respond)
{
    const auto timer = std::make_shared<asio::steady_timer>(p.io, wait);
    p.watches.push_back({key, known, respond, timer});
    const auto place = std::prev(p.watches.end());
    timer->async_wait([&p, place](const boost::system::error_code& problem) {
        if (!problem) {
            place->respond({http::status_no_content, {}, {}});
            p.watches.erase(place);
        }
    });
}

void read_object(platform& p, const std::string& key, const http::path_parts& parts,
                 const http::responder& respond)
{
    const auto after = http::header_of(parts.parameters, "after");
    const auto wait = http::header_of(parts.parameters, "wait_ms");
    ++p.calls[after.empty() ? "read" : "watch"];
    if (!try_take_token(p.reads)) {
        return respond({http::status_too_many_requests, {}, {}});
    }
    const auto object = p.objects.find(key);
    const std::uint64_t known = after.empty() ? 0 : std::stoull(std::string(after));
    const bool is_new =
        object != p.objects.end() && (after.empty() || object->second.version != known);
    if (is_new) {
        return respond(object_answer(object->second));
    }
    if (after.empty()) {
        return respond({http::status_not_found, {}, {}});
    }
    start_watch(p, key, known, std::chrono::milliseconds(std::stoull(std::string(wait))), respond);
}

bool condition_holds(const platform& p, const std::string& key, const http::request& r)
{
    const auto object = p.objects.find(key);
    if (http::header_of(r.headers, "If-None-Match") == "*") {
        return object == p.objects.end();
    }
    const auto expected = http::header_of(r.headers, "If-Match");
    return object != p.objects.end() &&
           expected == '"' + std::to_string(object->second.version) + '"';
}

void write_object(platform& p, const std::string& key, const http::request& r,
                  const http::responder& respond)
{
    ++p.calls["write"];
    if (!try_take_token(p.writes)) {
        return respond({http::status_too_many_requests, {}, {}});
    }
    constexpr std::size_t max_object_bytes = 1UL << 20U;
    if (r.body.size() > max_object_bytes) {
        return respond({http::status_bad_request, {}, "value over a megabyte"});
    }
    if (!condition_holds(p, key, r)) {
        return respond({http::status_precondition_failed, {}, {}});
    }
    const auto version = p.next_version++;
    if (r.method == "DELETE") {
        p.objects.erase(key);
    } else {
        p.objects[key] = {r.body, version};
    }
    notify_watches(p, key);
    if (p.active.lose_writes > 0) {
        --p.active.lose_writes;
        return; // The write has taken effect, but its writer gets no answer.
    }
    respond({http::status_ok, {{"ETag", '"' + std::to_string(version) + '"'}}, {}});
}

void control(platform& p, const http::path_parts& parts, const http::responder& respond)
{
    const auto fault = http::header_of(parts.parameters, "fault");
    const auto text = std::string(http::header_of(parts.parameters, "value"));
    const auto value = text.empty() ? 0 : std::stoull(text);
    if (fault == "down") {
        p.active.down = value;
    } else if (fault == "silent") {
        p.active.silent = value;
    } else if (fault == "delay_ms") {
        p.active.delay_ms = value;
    } else if (fault == "lose_writes") {
        p.active.lose_writes = value;
    } else if (fault == "save") {
        p.saved = p.objects;
    } else if (fault == "rollback") {
        p.objects = p.saved;
        for (auto& [key, object] : p.objects) {
            object.version = p.next_version++;
            notify_watches(p, key);
        }
    } else {
        return respond({http::status_bad_request, {}, {}});
    }
    respond({http::status_ok, {}, {}});
}

http::response stats(const platform& p)
{
    std::string text;
    for (const auto& [kind, count] : p.calls) {
        text += kind + " " + std::to_string(count) + "\n";
    }
    return {http::status_ok, {}, text + "waiting " + std::to_string(p.watches.size()) + "\n"};
}

void serve_object(platform& p, const http::request& r, const http::responder& respond)
{
    constexpr std::string_view prefix = "/v1/objects/";
    const auto parts = http::split_path(r.path);
    if (!parts.path.starts_with(prefix)) {
        return respond({http::status_not_found, {}, {}});
    }
    const auto key = parts.path.substr(prefix.size());
    if (r.method == "GET") {
        read_object(p, key, parts, respond);
    } else {
        write_object(p, key, r, respond);
    }
}

void handle(platform& p, const http::request& r, const http::responder& respond)
{
    const auto parts = http::split_path(r.path);
    if (parts.path == "/control") {
        return control(p, parts, respond);
    }
    if (parts.path == "/stats") {
        return respond(stats(p));
    }
    if (p.active.silent != 0) {
        return;
    }
    if (p.active.down != 0) {
        return respond({http::status_unavailable, {}, {}});
    }
    if (p.active.delay_ms == 0) {
        return serve_object(p, r, respond);
    }
    const auto timer =
        std::make_shared<asio::steady_timer>(p.io, std::chrono::milliseconds(p.active.delay_ms));
    timer->async_wait([&p, r, respond, timer](const boost::system::error_code& problem) {
        if (!problem) {
            serve_object(p, r, respond);
        }
    });
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command_line("fake_platform: a stand-in for the platform's object API");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address", true, "", "IP:PORT",
                                        command_line);
    TCLAP::ValueArg<double> writes("", "writes", "writes a second", false, 400, "N", command_line);
    TCLAP::ValueArg<double> reads("", "reads", "reads a second", false, 2000, "N", command_line);
    command_line.parse(argc, argv);
    platform p;
    p.writes.rate = p.writes.tokens = writes.getValue();
    p.reads.rate = p.reads.tokens = reads.getValue();
    const auto at = almondquay::parse_endpoint(listen.getValue());
    auto server = http::server::create(
        p.io, almondquay::value_of(at),
        [&p](const http::request& r, const http::responder& respond) { handle(p, r, respond); });
    if (!almondquay::succeeded(server)) {
        std::cerr << almondquay::error_of(server).detail << '\n';
        return 1;
    }
    asio::signal_set signals(p.io, SIGTERM, SIGINT);
    signals.async_wait([&p](const boost::system::error_code&, int) { p.io.stop(); });
    p.io.run();
    return 0;
}
