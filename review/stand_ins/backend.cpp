#include "net.h"

#include <atomic>
#include <thread>

#include <csignal>

/// Stand-in for a backend. The query of a request says what its work is: `ms` is the time it takes,
/// `bytes` the size of the answer, `pause_ms` a pause after the first half of the answer's body.
/// Each request that arrives is recorded before its work begins, and each answer when it has been
/// sent.
///
///     backend IP:PORT ID SLOTS RECORD
namespace {

using review::connection;
using review::message;

constexpr std::chrono::seconds idle_limit{10};

struct backend {
    std::string id;
    std::string slots;
    std::string record;
    std::atomic<int> running = 0;
};

void sleep_ms(std::uint64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string head(const backend& b, const message& m, const std::string& status, std::size_t length)
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + m.header("X-Request-Id") +
           "\r\nX-Server-Load: " + std::to_string(b.running.load()) + ",0," + b.slots +
           "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(length) + "\r\n";
}

/// Answers that a request was not run.
bool reject(const backend& b, connection& c, const message& m, const std::string& status)
{
    review::record(b.record,
                   "backend " + b.id + " rejects " + status + " id=" + m.header("X-Request-Id"));
    return send_all(c, head(b, m, status, 0) + "X-Not-Executed: 1\r\n\r\n");
}

bool run(backend& b, connection& c, const message& m)
{
    const auto what = " id=" + m.header("X-Request-Id") + " " + m.word(0) + " " + m.word(1) +
                      " body_bytes=" + std::to_string(m.body.size());
    review::record(b.record, "backend " + b.id + " runs" + what);
    ++b.running;
    sleep_ms(m.number("ms"));
    const auto length = m.number("bytes");
    const std::string body(m.word(0) == "HEAD" ? 0 : length, 'b');
    const auto half = body.size() / 2;
    bool sent = send_all(c, head(b, m, "200 OK", length) + "X-Response-Seal: seal-" + b.id + "-" +
                                m.header("X-Request-Id") + "\r\n\r\n" + body.substr(0, half));
    sleep_ms(m.number("pause_ms"));
    sent = sent && send_all(c, body.substr(half));
    --b.running;
    review::record(b.record,
                   "backend " + b.id + (sent ? " has answered" : " cannot answer") + what);
    return sent;
}

bool respond(backend& b, connection& c, const message& m)
{
    if (m.word(1) == "/health") {
        return send_all(c, head(b, m, "200 OK", 0) + "X-Instance-Id: " + b.id + "\r\n\r\n");
    }
    if (m.header("X-Request-Id").empty()) {
        return reject(b, c, m, "400 Bad Request");
    }
    const auto expected = m.header("X-Expect-Instance");
    if (!expected.empty() && expected != b.id) {
        return reject(b, c, m, "421 Misdirected Request");
    }
    if (!m.parameter("full").empty()) {
        return reject(b, c, m, "503 Service Unavailable");
    }
    return run(b, c, m);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    backend b{argv[2], argv[3], argv[4]};
    review::serve(review::parse_address(argv[1]), [&b](connection& c) {
        message m;
        while (read_message(c, m, idle_limit) && respond(b, c, m)) {
        }
    });
}
