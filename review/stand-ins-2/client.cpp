#include "http_text.h"

/// A stand-in for clients. Each request concerns another object.
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

/// Sends requests one after the other, each on a connection of its own, and writes what each got.
int run_plain(client& c, const std::string& method, const std::string& target, int times,
              long gap_ms)
{
    for (int i = 0; i < times; ++i) {
        const auto id = c.next_id();
        c.record->line(c.name, "sent " + method + " " + target + " id " + id);
        const auto answer = call(c.front,
                                 head_of(method, target, id, 3000,
                                         "Cookie: X-Affinity-Key=" + std::to_string(i) +
                                             "\r\nConnection: close\r\n" +
                                             (method == "POST" ? "Content-Length: 0\r\n" : "")),
                                 4000);
        c.record->line(c.name, "answer to " + id + ": " + (answer ? answer->start : "none") +
                                   (answer && !answer->header("X-Response-Seal").empty()
                                        ? " seal " + answer->header("X-Response-Seal")
                                        : " without a seal"));
        std::this_thread::sleep_for(std::chrono::milliseconds(gap_ms));
    }
    return 0;
}

/// Sends requests with a body in chunks, and a trailer behind it unless `trailer` is empty.
int run_chunked(client& c, const std::string& target, const std::string& trailer, int times)
{
    for (int i = 0; i < times; ++i) {
        const auto id = c.next_id();
        c.record->line(c.name, "sent POST " + target + " id " + id +
                                   (trailer.empty() ? "" : " with the trailer " + trailer));
        const auto answer =
            call(c.front,
                 head_of("POST", target, id, 3000,
                         "Transfer-Encoding: chunked\r\nConnection: close\r\n") +
                     "5\r\nhello\r\n0\r\n" + trailer + (trailer.empty() ? "" : "\r\n") + "\r\n",
                 4000);
        c.record->line(c.name, "answer to " + id + ": " + (answer ? answer->start : "none"));
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
    if (what == "plain") {
        return run_plain(c, argument(argc, argv, "method", "GET"), target, times,
                         std::stol(argument(argc, argv, "gap-ms", "100")));
    }
    if (what == "chunked") {
        return run_chunked(c, target, argument(argc, argv, "trailer"), times);
    }
    return 2;
}
