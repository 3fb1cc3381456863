#include "http_text.h"

#include <atomic>
#include <condition_variable>

/// A stand-in for a server of the users' platform. It registers itself in the store and beats, has
/// slots and a short queue, seals its answers, and writes each request that it runs to the record.
/// Parameters of the query: work_ms (time of the work), bytes (size of the answer's body), pieces
/// and gap_ms (the body is sent in so many pieces with a gap between them).
namespace {

using namespace stand_in;

struct server {
    std::string id;
    std::string service;
    std::string zone;
    std::string at;
    std::string store;
    std::string state = "ready";
    std::int64_t born = 0;
    double cold_s = 0;
    std::int64_t started = now_ms();
    int slots = 3;
    int queue = 9;
    std::mutex mutex;
    std::condition_variable freed;
    int running = 0;
    int waiting = 0;
    record_file* record = nullptr;
};

std::string entry(server& s, int sequence)
{
    const auto age_s = static_cast<double>(now_ms() - s.started) / 1000;
    // Told in steps, so that the entry changes with each beat while the server is cold.
    const auto left = std::max(0.0, s.cold_s - age_s);
    return "{\"spec\":{\"service\":\"" + s.service + "\",\"address\":\"" + s.at + "\",\"zone\":\"" +
           s.zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(s.slots) + ",\"state\":\"" +
           s.state + "\",\"cold_left_s\":" + std::to_string(left) +
           ",\"sequence\":" + std::to_string(sequence) + ",\"born\":" + std::to_string(s.born) +
           "}}";
}

void beat(server& s)
{
    for (int sequence = 1;; ++sequence) {
        const auto body = entry(s, sequence);
        call(s.store,
             "PUT /-/objects/servers/" + s.id +
                 " HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body,
             500);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }
}

/// Takes a slot, after a wait if there is room in the queue.
bool take_slot(server& s)
{
    std::unique_lock lock(s.mutex);
    if (s.running >= s.slots && s.waiting >= s.queue) {
        return false;
    }
    ++s.waiting;
    s.freed.wait(lock, [&] { return s.running < s.slots; });
    --s.waiting;
    ++s.running;
    return true;
}

void give_slot(server& s)
{
    const std::scoped_lock lock(s.mutex);
    --s.running;
    s.freed.notify_one();
}

std::string load(server& s)
{
    const std::scoped_lock lock(s.mutex);
    return std::to_string(s.running) + "," + std::to_string(s.waiting) + "," +
           std::to_string(s.slots);
}

/// Whether the caller is still there after `ms` of work. Most servers drop a request when its
/// connection closes.
bool work(int fd, long ms)
{
    pollfd p{fd, POLLRDHUP, 0};
    return ::poll(&p, 1, static_cast<int>(ms)) == 0;
}

bool answer(server& s, stream& in, const message& request)
{
    const auto method = request.word(0);
    const auto target = request.word(1);
    const auto id = request.combined("X-Request-Id");
    const auto common = "X-Request-Id: " + id + "\r\nX-Server-Load: " + load(s) + "\r\n";
    if (target == "/health") {
        return send_all(in.fd, "HTTP/1.1 200 OK\r\nX-Instance-Id: " + s.id +
                                   "\r\nContent-Length: 0\r\n\r\n");
    }
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != s.id) {
        return send_all(in.fd, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + s.id +
                                   "\r\n" + common + "Content-Length: 0\r\n\r\n");
    }
    if (id.empty()) {
        return send_all(in.fd, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n"
                               "Content-Length: 0\r\n\r\n");
    }
    if (!take_slot(s)) {
        return send_all(in.fd, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" +
                                   common + "Content-Length: 0\r\n\r\n");
    }
    s.record->line(s.id, "runs " + id + " " + method + " " + target + " service " + s.service +
                             " body " + std::to_string(request.body.size()));
    const bool is_wanted = work(in.fd, number_parameter(target, "work_ms", 20));
    give_slot(s);
    if (!is_wanted) {
        s.record->line(s.id, "dropped " + id);
        return false;
    }
    const auto size = static_cast<std::size_t>(number_parameter(target, "bytes", 100));
    const auto body = body_for(target, size);
    bool sent =
        send_all(in.fd, "HTTP/1.1 200 OK\r\nX-Response-Seal: " + s.id + "." + id + "\r\n" + common +
                            "Content-Length: " + std::to_string(size) + "\r\n\r\n");
    if (method == "HEAD") {
        return sent;
    }
    const auto pieces = static_cast<std::size_t>(number_parameter(target, "pieces", 1));
    const auto gap = number_parameter(target, "gap_ms", 0);
    for (std::size_t i = 0; i < pieces && sent; ++i) {
        const auto from = size * i / pieces;
        sent = send_all(in.fd, std::string_view(body).substr(from, size * (i + 1) / pieces - from));
        std::this_thread::sleep_for(std::chrono::milliseconds(gap));
    }
    if (sent) {
        s.record->line(s.id, "answered " + id);
    }
    return sent;
}

void serve(server& s, int fd)
{
    stream in;
    in.fd = fd;
    while (true) {
        auto request = read_head(in, now_ms() + one_hour_ms);
        if (!request || !read_body(in, *request, now_ms() + one_hour_ms) ||
            !answer(s, in, *request)) {
            break;
        }
    }
    ::close(fd);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    static server s;
    static record_file record(argument(argc, argv, "record"));
    s.record = &record;
    s.id = argument(argc, argv, "id");
    s.service = argument(argc, argv, "service");
    s.zone = argument(argc, argv, "zone");
    s.at = argument(argc, argv, "listen");
    s.store = argument(argc, argv, "store");
    s.cold_s = std::stod(argument(argc, argv, "cold-s", "0"));
    s.born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    // SIGUSR1: the server is to leave and says so with its next beat, which follows at once.
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    const int listener = listen_at(s.at);
    std::thread([] { beat(s); }).detach();
    std::thread([set] {
        int got = 0;
        while (sigwait(&set, &got) == 0) {
            s.state = "draining";
            const auto body = entry(s, 1'000'000);
            call(s.store,
                 "PUT /-/objects/servers/" + s.id + " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body,
                 500);
        }
    }).detach();
    while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(serve, std::ref(s), fd).detach();
        }
    }
}
