#include "net.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <mutex>
#include <set>
#include <thread>

#include <csignal>

/// Stand-in for clients and for the operator. The first argument selects what it does; each
/// function says how.
namespace {

using review::address;
using review::connection;
using review::message;
using std::chrono::milliseconds;

constexpr milliseconds answer_limit{8'000};
/// Number of objects that the requests of a load concern.
constexpr unsigned objects = 24;
constexpr const char* host_name = "a.example";

using arguments = std::vector<std::string>;

void sleep_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

std::string request_head(const std::string& method, const std::string& target,
                         const std::string& id, const std::string& more)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host_name + "\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 4000\r\n" + more + "\r\n";
}

/// Reads the final answer.
bool read_answer(connection& c, message& m, milliseconds limit = answer_limit)
{
    bool got = read_message(c, m, limit);
    while (got && m.word(1).starts_with('1')) {
        got = read_message(c, m, limit);
    }
    return got;
}

std::string describe(bool got, const message& m)
{
    return got ? m.word(1) + " seal=" + m.header("X-Response-Seal") +
                     " body_bytes=" + std::to_string(m.body.size())
               : std::string("nothing, the connection ended");
}

/// port IP: prints a free port.
int print_port(const arguments& a)
{
    std::cout << review::free_port(a.at(0)) << '\n';
    return 0;
}

/// write STORE METHOD KIND/NAME RECORD: a call to the store; standard input is the body.
int write_object(const arguments& a)
{
    const std::string body(std::istreambuf_iterator<char>(std::cin), {});
    connection c(review::connect_to(review::parse_address(a.at(0))));
    message m;
    const bool got = send_all(c, a.at(1) + " /-/objects/" + a.at(2) +
                                     " HTTP/1.1\r\nHost: store\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" + body) &&
                     read_message(c, m, answer_limit);
    if (got) {
        review::record(a.at(3), "store acks " + a.at(1) + " " + a.at(2) + " " + m.word(1));
    }
    return got && m.word(1) == "200" ? 0 : 1;
}

/// ready IP:PORT: whether the host says that it is ready.
int ask_ready(const arguments& a)
{
    connection c(review::connect_to(review::parse_address(a.at(0))));
    message m;
    const bool got = send_all(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
                     read_message(c, m, milliseconds(1'000));
    return got && m.word(1) == "200" ? 0 : 1;
}

/// get FRONT TARGET ID RECORD: one request on a new connection; succeeds if it is served.
int get_once(const arguments& a)
{
    connection c(review::connect_to(review::parse_address(a.at(0))));
    message m;
    review::record(a.at(3), "client sends id=" + a.at(2) + " GET " + a.at(1));
    const bool got = send_all(c, request_head("GET", a.at(1), a.at(2), "Connection: close\r\n")) &&
                     read_answer(c, m);
    review::record(a.at(3), "client gets id=" + a.at(2) + " " + describe(got, m));
    return got && m.word(1) == "200" ? 0 : 1;
}

/// Sends one request after the other on a kept connection, which is opened again when it has ended.
void load_one(const std::string& name, const address& front, const std::string& target,
              std::chrono::steady_clock::time_point end, milliseconds gap, const std::string& file)
{
    for (unsigned n = 1; std::chrono::steady_clock::now() < end;) {
        connection c(review::connect_to(front));
        bool usable = c.fd >= 0;
        while (usable && std::chrono::steady_clock::now() < end) {
            const auto id = name + "-" + std::to_string(n++);
            const auto object = "Cookie: X-Affinity-Key=" + std::to_string(n % objects) + "\r\n";
            message m;
            review::record(file, "client sends id=" + id + " GET " + target);
            const bool got =
                send_all(c, request_head("GET", target, id, object)) && read_answer(c, m);
            review::record(file, "client gets id=" + id + " " + describe(got, m));
            usable = got && m.header("Connection") != "close";
            sleep_for(gap);
        }
        sleep_for(gap);
    }
}

/// load RECORD SECONDS GAP_MS TARGET NAME=FRONT...: keeps sending requests to each front.
int load(const arguments& a)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(std::stoul(a.at(1)));
    const milliseconds gap(std::stoul(a.at(2)));
    std::vector<std::thread> threads;
    for (std::size_t i = 4; i < a.size(); ++i) {
        const auto equals = a[i].find('=');
        threads.emplace_back(load_one, a[i].substr(0, equals),
                             review::parse_address(a[i].substr(equals + 1)), a.at(3), end, gap,
                             a.at(0));
    }
    for (auto& t : threads) {
        t.join();
    }
    return 0;
}

/// look_up RECORD SECONDS GAP_MS ZONE DIRECTORY...: keeps asking each directory for the hosts to
/// use.
int look_up(const arguments& a)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(std::stoul(a.at(1)));
    const milliseconds gap(std::stoul(a.at(2)));
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t i = 4; i < a.size(); ++i) {
            connection c(review::connect_to(review::parse_address(a[i])));
            message m;
            const bool got = send_all(c, "GET /-/resolve?name=a.example&zone=" + a.at(3) +
                                             " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
                             read_message(c, m, milliseconds(1'000));
            review::record(a.at(0), "client learns from " + a[i] + " " +
                                        (got ? m.word(1) + " " + m.body : "nothing"));
        }
        sleep_for(gap);
    }
    return 0;
}

/// Sends one request whose body has the form of a request. Its own header says that it has a body.
void send_with_inner(const address& front, const std::string& file, const std::string& target,
                     const std::string& id, const std::string& inner_id, const std::string& more)
{
    connection c(review::connect_to(front));
    const auto inner = request_head("POST", "/stamp/inner", inner_id, "Content-Length: 0\r\n");
    const auto length = "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    review::record(file, "client sends id=" + id + " POST " + target +
                             " body_bytes=" + std::to_string(inner.size()));
    send_all(c, request_head("POST", target, id, more + length) + inner);
    message m;
    for (bool got = true; got;) {
        got = read_answer(c, m, milliseconds(2'000));
        review::record(file, "client gets on the connection of id=" + id + " " + describe(got, m));
    }
}

/// smuggle FRONT RECORD TROUBLE: requests whose bodies look like requests. With trouble, the header
/// Connection of the first one names Content-Length, and the second one goes to the path of the
/// directory.
int smuggle(const arguments& a)
{
    const auto front = review::parse_address(a.at(0));
    const bool trouble = a.at(2) != "0";
    send_with_inner(front, a.at(1), "/stamp/outer", "outer-1", "inner-1",
                    trouble ? "Connection: Content-Length\r\n" : "");
    send_with_inner(front, a.at(1), trouble ? "/-/resolve?name=a.example" : "/stamp/outer",
                    "outer-2", "inner-2", "");
    return 0;
}

/// pipeline FRONT RECORD TROUBLE: a download, and a request that asks for 100 Continue. With
/// trouble, the second one is sent while the first one is being answered. Records whether the
/// download is whole.
int pipeline(const arguments& a)
{
    constexpr std::size_t bytes = 200'000;
    const auto& file = a.at(1);
    const bool trouble = a.at(2) != "0";
    const std::string body(100, 'c');
    const auto first =
        request_head("GET", "/view/first?pause_ms=600&bytes=" + std::to_string(bytes), "first", "");
    const auto second = request_head(
        "POST", "/view/second?bytes=20", "second",
        "Expect: 100-continue\r\nContent-Length: " + std::to_string(body.size()) + "\r\n");
    connection c(review::connect_to(review::parse_address(a.at(0))));
    review::record(file, "client sends id=first GET");
    send_all(c, first);
    while (trouble && c.buffer.size() < bytes / 4 && receive(c, answer_limit)) {
    }
    if (trouble) {
        review::record(file, "client sends id=second POST, Expect: 100-continue, behind first");
        send_all(c, second);
    }
    message m;
    const bool got = read_answer(c, m);
    const bool whole = got && m.body == std::string(bytes, 'b');
    review::record(file, "client gets id=first " + describe(got, m) +
                             (whole ? " the backend's body" : " NOT the backend's body") +
                             ", bytes that the backend did not send: " +
                             std::to_string(m.body.size() - std::ranges::count(m.body, 'b')));
    if (!trouble) {
        review::record(file, "client sends id=second POST, Expect: 100-continue, after first");
        send_all(c, second);
    }
    if (trouble || read_message(c, m, milliseconds(2'000))) { // 100 Continue
        send_all(c, body);
    }
    const bool has_answer = read_answer(c, m, milliseconds(3'000));
    review::record(file, "client gets id=second " + describe(has_answer, m));
    return 0;
}

/// head FRONT RECORD TROUBLE: a HEAD request and, when it has been answered, a GET request on the
/// same connection. With trouble the backend says of the first one that it is full. Records what
/// stands where the second answer is due.
int head(const arguments& a)
{
    const auto& file = a.at(1);
    const std::string target =
        a.at(2) != "0" ? "/view/head?bytes=100&full=1" : "/view/head?bytes=100";
    connection c(review::connect_to(review::parse_address(a.at(0))));
    review::record(file, "client sends id=head HEAD " + target);
    send_all(c, request_head("HEAD", target, "head", ""));
    message m;
    const bool has_head = read_head(c, m, answer_limit);
    review::record(file, "client gets id=head " + describe(has_head, m));
    review::record(file, "client sends id=get GET /view/get");
    send_all(c, request_head("GET", "/view/get?bytes=100", "get", ""));
    while (c.buffer.size() < 4 && receive(c, answer_limit)) {
    }
    const bool is_answer = c.buffer.starts_with("HTTP/");
    review::record(file, is_answer ? "client gets id=get an answer"
                                   : "client gets id=get NO answer but: " + c.buffer.substr(0, 60));
    return 0;
}

/// Requests at once on connections of their own, to let the host learn how long the work takes.
void warm(const address& front, const std::string& file, const std::string& target, unsigned count)
{
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < count; ++n) {
        threads.emplace_back([&, n] {
            get_once({front.ip + ":" + std::to_string(front.port), target,
                      "warm-" + std::to_string(n), file});
        });
    }
    for (auto& t : threads) {
        t.join();
    }
}

/// stop FRONT RECORD TROUBLE PID GRACE_MS: sends requests behind others on one connection while the
/// process is stopped: SIGTERM, and SIGKILL after the grace time. Without trouble no signal is
/// sent.
int stop(const arguments& a)
{
    const auto front = review::parse_address(a.at(0));
    const auto& file = a.at(1);
    const bool trouble = a.at(2) != "0";
    const auto pid = static_cast<pid_t>(std::stol(a.at(3)));
    const milliseconds grace(std::stoul(a.at(4)));
    warm(front, file, "/view/warm?ms=1000&bytes=20", 6);
    connection c(review::connect_to(front));
    message m;
    const auto began = std::chrono::steady_clock::now();
    if (trouble) {
        review::record(file, "platform sends SIGTERM");
        ::kill(pid, SIGTERM);
    }
    std::thread killer([&] {
        std::this_thread::sleep_until(began + grace);
        if (trouble && ::kill(pid, 0) == 0) {
            review::record(file, "platform sends SIGKILL");
            ::kill(pid, SIGKILL);
        }
    });
    const auto send_at = [&](milliseconds at, const std::string& id, const std::string& target) {
        std::this_thread::sleep_until(began + at);
        review::record(file, "client sends id=" + id + " GET " + target);
        send_all(c, request_head("GET", target, id, ""));
    };
    send_at(milliseconds(1'900), "a", "/view/a?ms=2000&bytes=20");
    send_at(milliseconds(3'300), "b", "/view/b?ms=2900&bytes=20");
    for (const auto* id : {"a", "b"}) {
        const bool got = read_answer(c, m);
        review::record(file, std::string("client gets id=") + id + " " + describe(got, m));
    }
    killer.join();
    return 0;
}

int run(const std::string& verb, const arguments& a)
{
    if (verb == "port") {
        return print_port(a);
    }
    if (verb == "write") {
        return write_object(a);
    }
    if (verb == "ready") {
        return ask_ready(a);
    }
    if (verb == "get") {
        return get_once(a);
    }
    if (verb == "load") {
        return load(a);
    }
    if (verb == "look_up") {
        return look_up(a);
    }
    if (verb == "smuggle") {
        return smuggle(a);
    }
    if (verb == "pipeline") {
        return pipeline(a);
    }
    if (verb == "head") {
        return head(a);
    }
    if (verb == "stop") {
        return stop(a);
    }
    std::cerr << "unknown verb " << verb << '\n';
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return argc < 2 ? 2 : run(argv[1], arguments(argv + 2, argv + argc));
    } catch (const std::exception& problem) {
        std::cerr << "client: " << problem.what() << '\n';
        return 2;
    }
}
