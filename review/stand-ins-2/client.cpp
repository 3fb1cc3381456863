#include "http_text.h"

#include <atomic>

/// A stand-in for clients. The first argument selects what it does; each exits with 1 if the rule
/// of its case was broken, with 0 if it held, and with 2 if it could not be tried.
namespace {

using namespace stand_in;

struct client {
    std::string front;
    record_file* record = nullptr;
    int sent = 0;
    std::string name;

    std::string next_id() { return name + "-" + std::to_string(++sent); }
};

std::string head_of(const std::string& method, const std::string& target, const std::string& id,
                    long deadline_ms, const std::string& more = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + more + "\r\n";
}

/// The bytes that came in place of an answer, in one line.
std::string shown(const std::string& bytes)
{
    std::string text;
    for (const char c : bytes.substr(0, 120)) {
        text += c >= ' ' && c <= '~' ? std::string(1, c) : std::string(".");
    }
    return text;
}

/// HEAD and then GET on one connection, as often as asked for. Each answer must begin where the one
/// before it ends; the answer to HEAD has no body whatever its headers say.
int run_head(client& c, const std::string& head_target, const std::string& get_target, int times)
{
    int broken = 0;
    for (int i = 0; i < times; ++i) {
        stream in;
        in.fd = connect_to(c.front);
        if (in.fd < 0) {
            return 2;
        }
        const auto head_id = c.next_id();
        c.record->line(c.name, "sent HEAD " + head_target + " id " + head_id);
        send_all(in.fd, head_of("HEAD", head_target, head_id, 3000));
        const auto first = read_head(in, now_ms() + 4000);
        if (!first) {
            ::close(in.fd);
            return 2;
        }
        c.record->line(c.name, "answer to HEAD: " + first->start + ", length " +
                                   first->header("Content-Length") + ", connection " +
                                   first->header("Connection"));
        if (first->header("Connection") == "close") {
            ::close(in.fd);
            continue;
        }
        const auto get_id = c.next_id();
        c.record->line(c.name, "sent GET " + get_target + " id " + get_id);
        send_all(in.fd, head_of("GET", get_target, get_id, 3000));
        while (in.buffer.size() < 5 && in.read_more(now_ms() + 4000)) {
        }
        if (in.buffer.rfind("HTTP/", 0) != 0) {
            ++broken;
            while (in.buffer.size() < 80 && in.read_more(now_ms() + 500)) {
            }
            c.record->line(c.name, "BROKEN: in place of the answer to GET " + get_id + ": " +
                                       shown(in.buffer));
        } else {
            auto second = read_head(in, now_ms() + 4000);
            const bool whole = second && read_body(in, *second, now_ms() + 4000);
            c.record->line(c.name, "answer to GET: " + (second ? second->start : "none") +
                                       (whole ? " whole" : " cut"));
        }
        ::close(in.fd);
    }
    return broken != 0 ? 1 : 0;
}

/// A download, and on the same connection a PUT with `Expect: 100-continue`: while the download is
/// being received if `is_pipelined`, else after it.
int run_expect(client& c, const std::string& get_target, const std::string& put_target,
               bool is_pipelined, int times)
{
    const auto size = static_cast<std::size_t>(number_parameter(get_target, "bytes", 100));
    const auto expected = body_for(get_target, size);
    const std::string put_body(300, 'p');
    const auto put_more =
        "Content-Type: text/plain\r\nContent-Length: " + std::to_string(put_body.size()) +
        "\r\nExpect: 100-continue\r\n";
    int broken = 0;
    for (int i = 0; i < times; ++i) {
        stream in;
        in.fd = connect_to(c.front);
        if (in.fd < 0) {
            return 2;
        }
        const auto get_id = c.next_id();
        c.record->line(c.name, "sent GET " + get_target + " id " + get_id);
        send_all(in.fd, head_of("GET", get_target, get_id, 3000));
        auto answer = read_head(in, now_ms() + 4000);
        if (!answer || answer->status() != 200) {
            c.record->line(c.name, "no 200 to GET " + get_id);
            ::close(in.fd);
            return 2;
        }
        const auto put_id = c.next_id();
        if (is_pipelined) {
            c.record->line(c.name, "sent PUT " + put_target + " id " + put_id + " behind GET " +
                                       get_id + ", headers only, after " +
                                       std::to_string(in.buffer.size()) + " bytes of its body");
            send_all(in.fd, head_of("PUT", put_target, put_id, 3000, put_more));
        }
        const bool whole = read_body(in, *answer, now_ms() + 4000);
        if (whole && answer->body != expected) {
            ++broken;
            const auto at = static_cast<std::size_t>(
                std::mismatch(expected.begin(), expected.end(), answer->body.begin()).first -
                expected.begin());
            c.record->line(c.name, "BROKEN: answer to GET " + get_id + ": " + answer->start +
                                       ", seal " + answer->header("X-Response-Seal") + ", all " +
                                       answer->header("Content-Length") +
                                       " bytes came, but not the server's: from byte " +
                                       std::to_string(at) + ": " + shown(answer->body.substr(at)));
            ::close(in.fd);
            continue;
        }
        c.record->line(c.name, "answer to GET " + get_id + ": " + answer->start +
                                   (whole ? ", whole body" : ", cut"));
        if (!is_pipelined) {
            c.record->line(c.name, "sent PUT " + put_target + " id " + put_id + ", headers only");
            send_all(in.fd, head_of("PUT", put_target, put_id, 3000, put_more));
        }
        auto next = read_head(in, now_ms() + 1000);
        const bool is_told = next && next->status() == 100;
        send_all(in.fd, put_body); // A client sends its body after a while without an answer, too.
        if (is_told || !next) {
            next = read_head(in, now_ms() + 4000);
        }
        const bool put_whole = next && read_body(in, *next, now_ms() + 4000);
        c.record->line(c.name, "answer to PUT " + put_id + ": " + (next ? next->start : "none") +
                                   (put_whole ? ", whole body" : ", cut"));
        ::close(in.fd);
    }
    return broken != 0 ? 1 : 0;
}

/// Sends an idempotent request every `every_ms` on one connection, also before earlier ones are
/// answered, until `until_ms` or until an answer closes the connection. From `later_ms` on they ask
/// for `later`. Writes what each one got.
int run_pipeline(client& c, const std::string& target, const std::string& later, long every_ms,
                 std::int64_t later_ms, std::int64_t until_ms)
{
    stream in;
    in.fd = connect_to(c.front);
    if (in.fd < 0) {
        return 2;
    }
    std::vector<std::string> open;
    auto next_ms = now_ms();
    while (!in.ended && (next_ms < until_ms || !open.empty())) {
        if (next_ms < until_ms && now_ms() >= next_ms) {
            next_ms += every_ms;
            const auto id = c.next_id();
            const auto& path = next_ms > later_ms ? later : target;
            c.record->line(c.name, "sent GET " + path + " id " + id);
            if (!send_all(in.fd, head_of("GET", path, id, 3000))) {
                break;
            }
            open.push_back(id);
        }
        auto answer = read_head(in, next_ms < until_ms ? next_ms : now_ms() + 5000);
        if (!answer) {
            continue;
        }
        if (!read_body(in, *answer, now_ms() + 5000)) {
            break;
        }
        c.record->line(c.name, "answer to " + open.front() + ": " + answer->start);
        open.erase(open.begin());
        if (answer->header("Connection") == "close") {
            c.record->line(c.name, "the answer closes the connection; " +
                                       std::to_string(open.size()) + " requests count as not read");
            open.clear();
            break;
        }
    }
    for (const auto& id : open) {
        c.record->line(c.name, "connection ended without an answer to " + id);
    }
    ::close(in.fd);
    return 0;
}

/// Sends requests one after the other, each on a connection of its own, and writes what each got.
int run_plain(client& c, const std::string& method, const std::string& target, int times,
              long gap_ms)
{
    for (int i = 0; i < times; ++i) {
        const auto id = c.next_id();
        c.record->line(c.name, "sent " + method + " " + target + " id " + id);
        const auto answer =
            call(c.front,
                 head_of(method, target, id, 3000,
                         method == "POST" ? "Content-Length: 0\r\nConnection: close\r\n"
                                          : "Connection: close\r\n"),
                 4000);
        c.record->line(c.name, "answer to " + id + ": " + (answer ? answer->start : "none") +
                                   (answer && !answer->header("X-Response-Seal").empty()
                                        ? " seal " + answer->header("X-Response-Seal")
                                        : " without a seal"));
        std::this_thread::sleep_for(std::chrono::milliseconds(gap_ms));
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string what = argc > 1 ? argv[1] : "";
    record_file record(argument(argc, argv, "record"));
    client c;
    c.front = argument(argc, argv, "front");
    c.name = argument(argc, argv, "name", "client");
    c.record = &record;
    const auto target = argument(argc, argv, "target");
    const int times = std::atoi(argument(argc, argv, "times", "1").c_str());
    if (what == "head") {
        return run_head(c, target, argument(argc, argv, "next"), times);
    }
    if (what == "expect") {
        return run_expect(c, target, argument(argc, argv, "next"),
                          argument(argc, argv, "pipelined") == "1", times);
    }
    if (what == "pipeline") {
        return run_pipeline(c, target, argument(argc, argv, "later", target),
                            std::stol(argument(argc, argv, "every-ms", "200")),
                            std::stoll(argument(argc, argv, "later-from")),
                            std::stoll(argument(argc, argv, "until")));
    }
    if (what == "plain") {
        return run_plain(c, argument(argc, argv, "method", "GET"), target, times,
                         std::stol(argument(argc, argv, "gap-ms", "100")));
    }
    return 2;
}
