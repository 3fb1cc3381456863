#include "common/endpoint.h"
#include "http/server.h"

#include <charconv>
#include <iostream>
#include <list>
#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

/// Fake of the users' platform's store: objects by kind and name, lists, and long-poll watches for
/// changes. POST /control?fault=F&value=V injects a fault: down (all calls get 503), forget
/// (watches from a revision before now get 410), deaf (waiting watches are never answered), copy
/// (takes a copy of all objects) and return (comes back from that copy with the next era; waiting
/// watches are never answered, and nothing is written again).
namespace {

namespace asio = boost::asio;
namespace http = almondquay::http;
using json = nlohmann::json;

constexpr std::string_view objects_prefix = "/-/objects/";

struct change {
    std::uint64_t revision = 0;
    std::string kind;
    json event;
};

struct waiting_watch {
    std::string kind;
    std::uint64_t since = 0;
    std::uint64_t era = 0;
    http::responder respond;
    std::unique_ptr<asio::steady_timer> limit;
};

/// What a copy of the store holds.
struct contents {
    std::uint64_t revision = 1;
    std::map<std::string, std::map<std::string, json>> kinds;
    std::vector<change> history;
};

struct registry : contents {
    explicit registry(asio::io_context& context) : io(&context) {}

    asio::io_context* io;
    std::uint64_t era = 1;
    std::uint64_t oldest_revision = 0; ///< watches from an earlier revision get 410
    bool is_down = false;
    bool is_deaf = false;
    contents copy;
    std::list<waiting_watch> waiting;
};

std::uint64_t number_of(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void answer(const registry& r, const http::responder& respond, unsigned status, const json& body)
{
    respond({status,
             {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(r.era)}},
             body.dump()});
}

json changes_since(const registry& r, const std::string& kind, std::uint64_t since)
{
    json events = json::array();
    for (const auto& c : r.history) {
        if (c.kind == kind && c.revision > since) {
            events.push_back(c.event);
        }
    }
    return events;
}

void notify_watches(registry& r, const std::string& kind)
{
    if (r.is_deaf) {
        return;
    }
    for (auto w = r.waiting.begin(); w != r.waiting.end();) {
        if (w->kind == kind && w->era == r.era) {
            const auto events = changes_since(r, kind, w->since);
            answer(r, w->respond, http::status_ok, {{"events", events}, {"at", r.revision}});
            w = r.waiting.erase(w);
        } else {
            ++w;
        }
    }
}

void put(registry& r, const std::string& kind, const std::string& name, const json& spec,
         bool deleted)
{
    ++r.revision;
    const json object{{"metadata", {{"name", name}, {"revision", r.revision}}}, {"spec", spec}};
    if (deleted) {
        r.kinds[kind].erase(name);
    } else {
        r.kinds[kind][name] = object;
    }
    r.history.push_back({r.revision, kind, {{"object", object}, {"deleted", deleted}}});
    notify_watches(r, kind);
}

void list(const registry& r, const std::string& kind, const http::responder& respond)
{
    json items = json::array();
    if (const auto found = r.kinds.find(kind); found != r.kinds.end()) {
        for (const auto& [name, object] : found->second) {
            items.push_back(object);
        }
    }
    answer(r, respond, http::status_ok,
           {{"items", items}, {"has_more", false}, {"at", r.revision}});
}

void watch_changes(registry& r, const std::string& kind, std::uint64_t since,
                   std::chrono::milliseconds wait, const http::responder& respond)
{
    if (since < r.oldest_revision || since > r.revision) {
        answer(r, respond, http::status_gone, json::object());
        return;
    }
    const auto events = changes_since(r, kind, since);
    if (!events.empty()) {
        answer(r, respond, http::status_ok, {{"events", events}, {"at", r.revision}});
        return;
    }
    r.waiting.push_back(
        {kind, since, r.era, respond, std::make_unique<asio::steady_timer>(*r.io, wait)});
    const auto watch = std::prev(r.waiting.end());
    watch->limit->async_wait([&r, watch](const boost::system::error_code& problem) {
        if (problem || r.is_deaf) {
            return;
        }
        answer(r, watch->respond, http::status_ok, {{"events", json::array()}, {"at", r.revision}});
        r.waiting.erase(watch);
    });
}

void control(registry& r, const http::path_parts& parts, const http::responder& respond)
{
    const auto fault = http::header_of(parts.parameters, "fault");
    const auto value = number_of(http::header_of(parts.parameters, "value"));
    if (fault == "down") {
        r.is_down = value != 0;
    } else if (fault == "deaf") {
        r.is_deaf = value != 0;
    } else if (fault == "forget") {
        r.oldest_revision = r.revision;
    } else if (fault == "copy") {
        r.copy = r;
    } else if (fault == "return") {
        static_cast<contents&>(r) = r.copy;
        ++r.era;
        for (auto& watch : r.waiting) {
            watch.limit->cancel();
        }
    }
    respond({http::status_ok, {}, {}});
}

void serve(registry& r, const http::request& request, const http::responder& respond)
{
    const auto parts = http::split_path(request.path);
    if (parts.path == "/control") {
        control(r, parts, respond);
        return;
    }
    if (r.is_down || !parts.path.starts_with(objects_prefix)) {
        answer(r, respond, http::status_unavailable, json::object());
        return;
    }
    const auto rest = parts.path.substr(objects_prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (request.method == "PUT") { // Unconditional writes by operators and targets.
        put(r, kind, name, json::parse(request.body), false);
        answer(r, respond, http::status_ok, json::object());
    } else if (request.method == "DELETE") {
        put(r, kind, name, nullptr, true);
        answer(r, respond, http::status_ok, json::object());
    } else if (request.method == "POST") {
        const auto object = json::parse(request.body);
        const auto created = object.at("metadata").at("name").get<std::string>();
        if (r.kinds[kind].contains(created)) {
            answer(r, respond, http::status_conflict, json::object());
            return;
        }
        put(r, kind, created, object.at("spec"), false);
        answer(r, respond, http::status_created, json::object());
    } else if (const auto since = http::header_of(parts.parameters, "watch"); !since.empty()) {
        const std::chrono::milliseconds wait(
            number_of(http::header_of(parts.parameters, "wait_ms")));
        watch_changes(r, kind, number_of(since), wait, respond);
    } else {
        list(r, kind, respond);
    }
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine command_line("fake_registry: a stand-in for the store of the users' platform");
    TCLAP::ValueArg<std::string> at("l", "listen", "address", true, "", "IP:PORT", command_line);
    command_line.parse(argc, argv);
    asio::io_context io(1);
    registry r(io);
    const auto listening =
        http::server::create(io, almondquay::value_of(almondquay::parse_endpoint(at.getValue())),
                             [&r](const http::request& request, const http::responder& respond) {
                                 serve(r, request, respond);
                             });
    if (!almondquay::succeeded(listening)) {
        std::cerr << almondquay::error_of(listening).detail << '\n';
        return 1;
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
    io.run();
    return 0;
}
