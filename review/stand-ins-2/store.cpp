#include "http_text.h"

#include <condition_variable>
#include <set>

#include <nlohmann/json.hpp>

/// A stand-in for the store of the users' platform: objects by kind and name, lists, and watches.
///
/// Entries of kind `servers` are removed 4.5 s after their last beat. A beat that changes nothing
/// but `sequence` does not change the entry.
///
/// POST /control/copy takes a copy, as a backup does. POST /control/drill?away_ms=T&silent=S plays
/// the drill of the pages: the store is away for T ms, and comes back from that copy with the next
/// era. The connections that are open at its start go silent for good (S = 1) or are closed. What
/// the operator and the servers have written since the copy is written again at once, the latest
/// state of each object once. POST /control/away?ms=T: the store is away for T ms and loses
/// nothing.
namespace {

using namespace stand_in;
using json = nlohmann::json;

constexpr std::int64_t lapse_ms = 4'500;
constexpr std::size_t page_items = 500;

struct object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    json spec;
    json status;
};

struct change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool deleted = false;
    object state;
};

using objects = std::map<std::string, std::map<std::string, object>>;

struct snapshot {
    std::uint64_t revision = 100;
    objects kinds;
    std::vector<change> history;
};

struct store {
    std::mutex mutex;
    std::condition_variable changed;
    snapshot now;
    snapshot copy;
    std::uint64_t era = 1;
    bool is_away = false;
    bool is_silent = true; ///< connections of an earlier era are never answered nor closed
    std::map<std::string, std::int64_t> last_beat;
    record_file* record = nullptr;
};

json to_json(const std::string& name, const object& o)
{
    return {{"metadata",
             {{"name", name},
              {"revision", o.revision},
              {"create_rev", o.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", o.spec},
            {"status", o.status}};
}

void put(store& s, const std::string& kind, const std::string& name, const json& spec)
{
    auto& o = s.now.kinds[kind][name];
    if (o.revision != 0 && o.spec == spec) {
        return;
    }
    o.revision = ++s.now.revision;
    o.created = o.created == 0 ? o.revision : o.created;
    o.spec = spec;
    s.now.history.push_back({o.revision, kind, name, false, o});
    s.record->line("store", "era " + std::to_string(s.era) + " revision " +
                                std::to_string(o.revision) + " put " + kind + "/" + name +
                                (kind == "servers" ? " " + spec.value("state", "") + " cold " +
                                                         spec["cold_left_s"].dump()
                                 : kind == "config" ? " version " + spec.value("version", "")
                                                    : ""));
    s.changed.notify_all();
}

void erase(store& s, const std::string& kind, const std::string& name)
{
    const auto found = s.now.kinds[kind].find(name);
    if (found == s.now.kinds[kind].end()) {
        return;
    }
    auto o = found->second;
    o.revision = ++s.now.revision;
    s.now.kinds[kind].erase(found);
    s.now.history.push_back({o.revision, kind, name, true, o});
    s.record->line("store", "era " + std::to_string(s.era) + " revision " +
                                std::to_string(o.revision) + " removed " + kind + "/" + name);
    s.changed.notify_all();
}

struct answer {
    int status = 200;
    json body = json::object();
};

answer list(store& s, const std::string& kind, const std::string& after)
{
    json items = json::array();
    bool has_more = false;
    for (const auto& [name, o] : s.now.kinds[kind]) {
        if (name > after) {
            if (items.size() == page_items) {
                has_more = true;
                break;
            }
            items.push_back(to_json(name, o));
        }
    }
    return {200, {{"items", items}, {"has_more", has_more}, {"at", s.now.revision}}};
}

answer watch(store& s, std::unique_lock<std::mutex>& lock, const std::string& kind,
             std::uint64_t since, long wait_ms, std::uint64_t era)
{
    if (since > s.now.revision) {
        return {410, json::object()};
    }
    json events = json::array();
    const auto collect = [&] {
        if (s.era != era || (s.is_away && !s.is_silent)) {
            return true;
        }
        for (const auto& c : s.now.history) {
            if (c.revision > since && c.kind == kind) {
                events.push_back({{"deleted", c.deleted}, {"object", to_json(c.name, c.state)}});
            }
        }
        return !events.empty();
    };
    s.changed.wait_for(lock, std::chrono::milliseconds(wait_ms), collect);
    return {200, {{"events", events}, {"at", s.now.revision}}};
}

answer handle(store& s, std::unique_lock<std::mutex>& lock, const message& request,
              std::uint64_t era)
{
    const auto method = request.word(0);
    const auto target = request.word(1);
    const std::string prefix = "/-/objects/";
    const auto path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0) {
        return {404, json::object()};
    }
    const auto rest = path.substr(prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (method == "GET" && !parameter(target, "watch").empty()) {
        return watch(s, lock, kind, std::stoull(parameter(target, "watch")),
                     number_parameter(target, "wait_ms", 0), era);
    }
    if (method == "GET" && name.empty()) {
        return list(s, kind, parameter(target, "after"));
    }
    auto& of_kind = s.now.kinds[kind];
    if (method == "GET") {
        const auto found = of_kind.find(name);
        return found == of_kind.end() ? answer{404, json::object()}
                                      : answer{200, to_json(name, found->second)};
    }
    if (method == "DELETE") {
        const bool is_known = of_kind.contains(name);
        erase(s, kind, name);
        return {is_known ? 200 : 404, json::object()};
    }
    const auto body = json::parse(request.body);
    if (method == "POST") {
        const auto created = body.at("metadata").at("name").get<std::string>();
        const bool is_known = of_kind.contains(created);
        if (!is_known) {
            put(s, kind, created, body.at("spec"));
        }
        return {is_known ? 409 : 201, to_json(created, of_kind[created])};
    }
    auto spec = body.at("spec");
    if (kind == "servers") {
        s.last_beat[name] = now_ms();
        spec.erase("sequence");
    }
    put(s, kind, name, spec);
    return {200, to_json(name, of_kind[name])};
}

/// What was written since the copy, but by the system itself, is written again.
void restore(store& s)
{
    const auto lost = std::exchange(s.now, s.copy);
    ++s.era;
    s.record->line("store", "back with era " + std::to_string(s.era) + " at revision " +
                                std::to_string(s.now.revision) + ", had been at " +
                                std::to_string(lost.revision));
    std::set<std::pair<std::string, std::string>> again;
    for (const auto& c : lost.history) {
        const bool is_theirs = c.kind == "servers" || c.kind == "config" || c.kind == "evacuations";
        if (c.revision > s.copy.revision && is_theirs) {
            again.emplace(c.kind, c.name);
        }
    }
    for (const auto& [kind, name] : again) {
        const auto& before = lost.kinds.at(kind);
        if (const auto found = before.find(name); found != before.end()) {
            put(s, kind, name, found->second.spec);
        } else {
            erase(s, kind, name);
        }
    }
}

void control(store& s, std::unique_lock<std::mutex>& lock, const std::string& target)
{
    if (target.rfind("/control/copy", 0) == 0) {
        s.copy = s.now;
        s.record->line("store", "copied at revision " + std::to_string(s.now.revision));
        return;
    }
    const bool is_drill = target.rfind("/control/drill", 0) == 0;
    const auto away = number_parameter(target, is_drill ? "away_ms" : "ms", 300);
    s.record->line("store", "is away for " + std::to_string(away) + " ms");
    s.is_away = true;
    s.is_silent = !is_drill || number_parameter(target, "silent", 1) != 0;
    s.changed.notify_all();
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(away));
    lock.lock();
    if (is_drill) {
        restore(s);
    }
    s.is_away = false;
    for (auto& [name, at] : s.last_beat) {
        at = now_ms();
    }
    s.changed.notify_all();
}

[[noreturn]] void fall_silent()
{
    while (true) {
        std::this_thread::sleep_for(std::chrono::hours(1));
    }
}

void serve(store& s, int fd, std::uint64_t era)
{
    stream in;
    in.fd = fd;
    while (true) {
        auto request = read_head(in, now_ms() + one_hour_ms);
        if (!request || !read_body(in, *request, now_ms() + one_hour_ms)) {
            break;
        }
        const auto target = request->word(1);
        std::unique_lock lock(s.mutex);
        answer a;
        if (target.rfind("/control/", 0) == 0) {
            control(s, lock, target);
        } else {
            if (s.era == era && s.is_away) {
                break; // Connections that are made while it is away are closed unanswered.
            }
            if (s.era == era) {
                a = handle(s, lock, *request, era);
            }
            if (s.era != era || s.is_away) {
                if (!s.is_silent) {
                    break;
                }
                lock.unlock();
                fall_silent();
            }
        }
        const auto text = a.body.dump();
        const auto head =
            "HTTP/1.1 " + std::to_string(a.status) +
            " Answer\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(s.era) +
            "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n";
        lock.unlock();
        if (!send_all(fd, head + text) || request->header("Connection") == "close") {
            break;
        }
    }
    ::close(fd);
}

void expire(store& s)
{
    while (true) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        const std::scoped_lock lock(s.mutex);
        if (s.is_away) {
            continue;
        }
        std::vector<std::string> lapsed;
        for (const auto& [name, at] : s.last_beat) {
            if (now_ms() - at > lapse_ms) {
                lapsed.push_back(name);
            }
        }
        for (const auto& name : lapsed) {
            s.last_beat.erase(name);
            erase(s, "servers", name);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    static store s;
    static record_file record(argument(argc, argv, "record"));
    s.record = &record;
    s.copy = s.now;
    const int listener = listen_at(argument(argc, argv, "listen"));
    std::thread(expire, std::ref(s)).detach();
    while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::uint64_t era = 0;
        {
            const std::scoped_lock lock(s.mutex);
            era = s.era;
        }
        std::thread(serve, std::ref(s), fd, era).detach();
    }
}
