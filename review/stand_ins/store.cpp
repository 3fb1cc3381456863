#include "net.h"

#include <condition_variable>
#include <map>
#include <mutex>

#include <csignal>

#include <nlohmann/json.hpp>

/// Stand-in for the platform's store: objects by kind and name, lists, and watches for changes. The
/// spec of an object that an operator or a backend PUTs is kept and sent byte for byte.
///
///     store IP:PORT
namespace {

using review::connection;
using review::message;

constexpr std::string_view objects_prefix = "/-/objects/";
constexpr std::chrono::minutes connection_limit{10};

struct change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string event;
};

struct store {
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 1;
    std::map<std::string, std::map<std::string, std::string>> kinds;
    std::vector<change> history;
};

bool answer(connection& c, unsigned status, const std::string& body)
{
    return send_all(c, "HTTP/1.1 " + std::to_string(status) +
                           " X\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// Writes or deletes an object; the caller holds the lock.
void put(store& s, const std::string& kind, const std::string& name, const std::string& spec,
         bool deleted)
{
    auto& objects = s.kinds[kind];
    if (deleted && !objects.contains(name)) {
        return;
    }
    ++s.revision;
    const auto object = R"({"metadata":{"name":")" + name + R"(","revision":)" +
                        std::to_string(s.revision) + R"(},"spec":)" + spec + "}";
    if (deleted) {
        objects.erase(name);
    } else {
        objects[name] = object;
    }
    s.history.push_back(
        {s.revision, kind,
         R"({"object":)" + object + R"(,"deleted":)" + (deleted ? "true" : "false") + "}"});
    s.changed.notify_all();
}

std::string joined(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

std::string list(store& s, const std::string& kind)
{
    const std::scoped_lock lock(s.mutex);
    std::vector<std::string> items;
    for (const auto& [name, object] : s.kinds[kind]) {
        items.push_back(object);
    }
    return R"({"items":[)" + joined(items) + R"(],"has_more":false,"at":)" +
           std::to_string(s.revision) + "}";
}

std::vector<std::string> events_since(const store& s, const std::string& kind, std::uint64_t since)
{
    std::vector<std::string> events;
    for (const auto& c : s.history) {
        if (c.kind == kind && c.revision > since) {
            events.push_back(c.event);
        }
    }
    return events;
}

std::string watch(store& s, const std::string& kind, const message& m)
{
    const auto since = m.number("watch");
    const std::chrono::milliseconds wait(m.number("wait_ms"));
    std::unique_lock lock(s.mutex);
    s.changed.wait_for(lock, wait, [&] { return !events_since(s, kind, since).empty(); });
    return R"({"events":[)" + joined(events_since(s, kind, since)) + R"(],"at":)" +
           std::to_string(s.revision) + "}";
}

unsigned create(store& s, const std::string& kind, const message& m)
{
    const auto object = nlohmann::json::parse(m.body);
    const auto name = object.at("metadata").at("name").get<std::string>();
    const std::scoped_lock lock(s.mutex);
    if (s.kinds[kind].contains(name)) {
        return 409;
    }
    put(s, kind, name, object.at("spec").dump(), false);
    return 201;
}

bool respond(store& s, connection& c, const message& m)
{
    const auto path = m.word(1).substr(0, m.word(1).find('?'));
    if (!path.starts_with(objects_prefix)) {
        return answer(c, 404, "{}");
    }
    const auto rest = path.substr(objects_prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (m.word(0) == "GET") {
        return answer(c, 200, m.parameter("watch").empty() ? list(s, kind) : watch(s, kind, m));
    }
    if (m.word(0) == "POST") {
        return answer(c, create(s, kind, m), "{}");
    }
    const bool deletes = m.word(0) == "DELETE";
    const std::scoped_lock lock(s.mutex);
    put(s, kind, name, deletes ? "null" : m.body, deletes);
    return answer(c, 200, "{}");
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    store s;
    review::serve(review::parse_address(argv[1]), [&s](connection& c) {
        message m;
        while (read_message(c, m, connection_limit) && respond(s, c, m)) {
        }
    });
}
