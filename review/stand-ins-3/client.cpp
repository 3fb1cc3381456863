// Stand-in for clients. Each attempt has its own id, and each answer is checked against the
// backend's seal. One line is printed per attempt: time, id, request, verdict.
//   client load      --lookups IP:PORT,... --host H --method M --path P --threads N --for S
//                    [--gap MS] [--deadline MS] [--kind NAME] [--body TEXT]
//       N clients that ask the directory where to connect and keep their connections.
// In a path, `@` is replaced by a number that differs with each attempt.
#include "net.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <vector>

using namespace net;

namespace {

std::mutex output;
std::atomic<std::uint64_t> attempts{0};
const std::uint64_t process_tag = unix_ms() ^ (static_cast<std::uint64_t>(getpid()) << 40U);

std::string new_id()
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>((process_tag << 16U) + attempts.fetch_add(1)));
    return text;
}

void print(const std::string& line)
{
    const std::lock_guard lock(output);
    std::printf("%.3f %s\n", unix_seconds(), line.c_str());
    std::fflush(stdout);
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < text.size();) {
        const auto comma = std::min(text.find(',', at), text.size());
        parts.push_back(text.substr(at, comma - at));
        at = comma + 1;
    }
    return parts;
}

bool has_good_seal(const message& m, const std::string& id)
{
    const auto seal = m.header("x-response-seal");
    const auto dot = seal.rfind('.');
    return m.header("x-request-id") == id && dot != std::string::npos &&
           seal.substr(dot + 1) == digest(m.body);
}

std::string verdict(read_result r, const message& m, const std::string& id)
{
    if (r == read_result::ok && m.first.rfind("HTTP/1.", 0) != 0) {
        return "WRONG bytes that are no answer: " + m.first.substr(0, 70);
    }
    if (r != read_result::ok) {
        return r == read_result::timeout  ? "no-answer"
               : r == read_result::closed ? "closed"
                                          : "no-http";
    }
    const auto status = std::to_string(m.status());
    if (m.status() / 100 == 2) {
        return has_good_seal(m, id) ? "served " + status
                                    : "WRONG " + status + " without a matching seal";
    }
    return "refused " + status;
}

std::string request_text(const std::string& method, const std::string& path,
                         const std::string& host, const std::string& id,
                         const std::string& deadline, const std::string& body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + deadline + "\r\n" +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

// The addresses that the first directory names; empty if none answers with some.
std::vector<std::string> resolve(const std::vector<std::string>& directories,
                                 const std::string& host, const std::string& place)
{
    for (const auto& at : directories) {
        const int fd = connect_to(at, milliseconds(1'000));
        if (fd < 0) {
            continue;
        }
        message m;
        send_all(fd, "GET /-/resolve?name=" + host + "&" + place +
                         " HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n");
        const auto r = reader(fd).read(m, clock::now() + milliseconds(1'000));
        close(fd);
        const auto from = m.body.find('[');
        const auto to = m.body.find(']');
        if (r != read_result::ok || m.status() != 200 || from == std::string::npos) {
            continue;
        }
        std::string list;
        for (const char c : m.body.substr(from + 1, to - from - 1)) {
            list += c == '"' ? "" : std::string(1, c);
        }
        const auto addresses = split(list);
        if (!addresses.empty()) {
            return addresses;
        }
    }
    return {};
}

struct load_options {
    std::vector<std::string> directories;
    std::string place, host, method, path, deadline, kind, body;
    milliseconds gap{0};
    clock::time_point end;
};

void run_client(const load_options& o, unsigned number_of_client)
{
    std::mt19937 random(number_of_client + 1);
    std::vector<std::string> addresses;
    clock::time_point resolved{};
    int fd = -1;
    std::string peer;
    std::unique_ptr<reader> in;
    while (clock::now() < o.end) {
        if (clock::now() - resolved > std::chrono::seconds(2)) {
            const auto fresh = resolve(o.directories, o.host, o.place);
            addresses = fresh.empty() ? addresses : fresh;
            resolved = clock::now();
            const bool is_named =
                std::find(addresses.begin(), addresses.end(), peer) != addresses.end();
            if (fd >= 0 && !is_named) {
                close(fd);
                fd = -1;
            }
        }
        if (addresses.empty()) {
            std::this_thread::sleep_for(milliseconds(200));
            continue;
        }
        if (fd < 0) {
            peer = addresses[random() % addresses.size()];
            fd = connect_to(peer, milliseconds(1'000));
            in = std::make_unique<reader>(fd);
        }
        const auto id = new_id();
        auto path = o.path;
        if (const auto at = path.find('@'); at != std::string::npos) {
            path.replace(at, 1, std::to_string(number_of_client) + "-" + std::to_string(attempts));
        }
        std::string result = "no-connection";
        message m;
        if (fd >= 0) {
            const auto limit = clock::now() + milliseconds(number(o.deadline, 3'000));
            send_all(fd, request_text(o.method, path, o.host, id, o.deadline, o.body));
            const auto r = in->read(m, limit);
            result = verdict(r, m, id);
            if (r != read_result::ok || lower(m.header("connection")) == "close") {
                close(fd);
                fd = -1;
            }
        }
        print(o.kind + " id=" + id + " at=" + peer + " " + o.method + " " + path + " -> " + result);
        auto pause =
            fd < 0 && result == "no-connection" ? std::max(o.gap, milliseconds(100)) : o.gap;
        if (m.status() == 503) {
            const auto asked = std::atof(m.header("retry-after").c_str());
            pause = std::max(pause, milliseconds(static_cast<long>(asked * 1'000)));
        }
        std::this_thread::sleep_for(pause);
    }
    if (fd >= 0) {
        close(fd);
    }
}

int load(int argc, char** argv)
{
    load_options o;
    o.directories = split(option(argc, argv, "lookups"));
    o.place = option(argc, argv, "place", "region=north&zone=north-a");
    o.host = option(argc, argv, "host");
    o.method = option(argc, argv, "method", "GET");
    o.path = option(argc, argv, "path");
    o.deadline = option(argc, argv, "deadline", "3000");
    o.kind = option(argc, argv, "kind", "request");
    o.body = option(argc, argv, "body");
    o.gap = milliseconds(number(option(argc, argv, "gap"), 0));
    o.end =
        clock::now() +
        milliseconds(static_cast<long>(1'000 * std::atof(option(argc, argv, "for", "5").c_str())));
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < number(option(argc, argv, "threads"), 1); ++i) {
        clients.emplace_back(run_client, o, i);
    }
    for (auto& c : clients) {
        c.join();
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string verb = argc > 1 ? argv[1] : "";
    if (verb == "load") {
        return load(argc, argv);
    }
    std::fprintf(stderr, "client load ...\n");
    return 2;
}
