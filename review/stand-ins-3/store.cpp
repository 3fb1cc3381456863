// Stand-in for the platform's store: objects by kind and name, lists in pages, watches.
//   store --listen IP:PORT
#include "net.h"

#include <condition_variable>
#include <mutex>
#include <vector>

using namespace net;

namespace {

constexpr std::size_t page_items = 500;

struct object {
    std::string spec = "null";
    std::string status = "null";
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
};

struct change {
    std::uint64_t revision;
    std::string kind;
    std::string event;
};

std::mutex mutex;
std::condition_variable changed;
std::map<std::string, std::map<std::string, object>> kinds;
std::vector<change> history;
std::uint64_t revision = 1;

// The text of a member of a JSON object; empty if there is none.
std::string member(const std::string& json, const std::string& name)
{
    int depth = 0;
    bool in_text = false;
    const auto key = '"' + name + '"';
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char c = json[i];
        if (in_text) {
            i += c == '\\' ? 1 : 0;
            in_text = c != '"';
            continue;
        }
        if (c == '"' && depth == 1 && json.compare(i, key.size(), key) == 0) {
            auto at = json.find_first_not_of(" \t\r\n", i + key.size());
            if (at != std::string::npos && json[at] == ':') {
                const auto start = json.find_first_not_of(" \t\r\n", at + 1);
                int level = 0;
                bool quoted = false;
                for (at = start; at < json.size(); ++at) {
                    const char d = json[at];
                    if (quoted) {
                        at += d == '\\' ? 1 : 0;
                        quoted = d != '"';
                    } else if (d == '"') {
                        quoted = true;
                    } else if (d == '{' || d == '[') {
                        ++level;
                    } else if ((d == ',' || d == '}' || d == ']') && level == 0) {
                        break;
                    } else if (d == '}' || d == ']') {
                        --level;
                    }
                }
                return json.substr(start, at - start);
            }
        }
        in_text = c == '"';
        depth += c == '{' || c == '[' ? 1 : 0;
        depth -= c == '}' || c == ']' ? 1 : 0;
    }
    return {};
}

std::string unquoted(const std::string& text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

std::string text_of(const std::string& name, const object& o)
{
    return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(o.revision) +
           ",\"create_rev\":" + std::to_string(o.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + o.spec + ",\"status\":" + o.status +
           "}";
}

void record(const std::string& kind, const std::string& name, const object& o, bool deleted)
{
    history.push_back({revision, kind,
                       std::string("{\"deleted\":") + (deleted ? "true" : "false") +
                           ",\"object\":" + text_of(name, o) + "}"});
    changed.notify_all();
}

struct answer {
    int status = 200;
    std::string body = "{}";
};

answer list(const std::string& kind, const std::string& after)
{
    const std::lock_guard lock(mutex);
    std::string items;
    std::size_t count = 0;
    bool has_more = false;
    const auto& all = kinds[kind];
    for (auto at = all.upper_bound(after); at != all.end(); ++at) {
        if (count++ == page_items) {
            has_more = true;
            break;
        }
        items += (items.empty() ? "" : ",") + text_of(at->first, at->second);
    }
    return {200, "{\"items\":[" + items + "],\"has_more\":" + (has_more ? "true" : "false") +
                     ",\"at\":" + std::to_string(revision) + "}"};
}

answer watch(const std::string& kind, std::uint64_t since, milliseconds wait)
{
    std::unique_lock lock(mutex);
    if (since > revision) {
        return {410, "{}"};
    }
    std::string events;
    const auto collect = [&] {
        events.clear();
        for (const auto& c : history) {
            if (c.kind == kind && c.revision > since) {
                events += (events.empty() ? "" : ",") + c.event;
            }
        }
        return !events.empty();
    };
    changed.wait_for(lock, wait, collect);
    return {200, "{\"events\":[" + events + "],\"at\":" + std::to_string(revision) + "}"};
}

answer write(const std::string& method, const std::string& kind, const std::string& name,
             const std::string& body)
{
    const std::lock_guard lock(mutex);
    auto& all = kinds[kind];
    const auto found = all.find(name);
    const bool exists = found != all.end();
    const auto expected = member(member(body, "metadata"), "revision");
    if (method == "POST" && exists) {
        return {409, text_of(name, found->second)};
    }
    if (method != "POST" && !exists) {
        return {404, "{}"};
    }
    if (method != "POST" && !expected.empty() &&
        expected != std::to_string(found->second.revision)) {
        return {409, text_of(name, found->second)};
    }
    if (method == "DELETE") {
        auto gone = found->second;
        all.erase(found);
        gone.revision = ++revision;
        record(kind, name, gone, true);
        return {200, text_of(name, gone)};
    }
    auto& o = all[name];
    const auto spec = member(body, "spec");
    if (exists && spec == o.spec) {
        return {200, text_of(name, o)};
    }
    o.spec = spec.empty() ? "null" : spec;
    o.revision = ++revision;
    o.created = exists ? o.created : revision;
    record(kind, name, o, false);
    return {method == "POST" ? 201 : 200, text_of(name, o)};
}

answer handle(const message& m)
{
    const std::string prefix = "/-/objects/";
    const auto target = m.word(1);
    const auto path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0) {
        return {404, "{}"};
    }
    const auto rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    const auto method = m.word(0);
    if (method == "GET") {
        if (const auto since = parameter(target, "watch"); !since.empty()) {
            return watch(kind, number(since, 0),
                         milliseconds(number(parameter(target, "wait_ms"), 0)));
        }
        if (name.empty()) {
            return list(kind, parameter(target, "after"));
        }
        const std::lock_guard lock(mutex);
        const auto found = kinds[kind].find(name);
        return found == kinds[kind].end() ? answer{404, "{}"}
                                          : answer{200, text_of(name, found->second)};
    }
    if (method == "POST" && name.empty()) {
        name = unquoted(member(member(m.body, "metadata"), "name"));
    }
    return write(method, kind, name, m.body);
}

void serve(int fd)
{
    reader in(fd);
    message m;
    while (in.read(m, clock::now() + std::chrono::minutes(5)) == read_result::ok) {
        const auto a = handle(m);
        if (!send_all(fd, "HTTP/1.1 " + std::to_string(a.status) +
                              " Answer\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                              "Content-Length: " +
                              std::to_string(a.body.size()) + "\r\n\r\n" + a.body)) {
            return;
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    accept_forever(option(argc, argv, "listen"), serve);
}
