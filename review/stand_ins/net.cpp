#include "net.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int hexadecimal = 16;
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

sockaddr_in to_sockaddr(const address& a)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(a.port);
    inet_pton(AF_INET, a.ip.c_str(), &result.sin_addr);
    return result;
}

void set_no_delay(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

[[noreturn]] void fail(const std::string& what)
{
    std::cerr << what << '\n';
    std::exit(2);
}

/// Removes and returns everything up to `end`, which is removed too.
bool take_until(connection& c, std::string_view end, std::string& into,
                std::chrono::milliseconds limit)
{
    auto at = c.buffer.find(end);
    while (at == std::string::npos) {
        if (!receive(c, limit)) {
            return false;
        }
        at = c.buffer.find(end);
    }
    into = c.buffer.substr(0, at);
    c.buffer.erase(0, at + end.size());
    return true;
}

bool take_bytes(connection& c, std::size_t count, std::string& into,
                std::chrono::milliseconds limit)
{
    while (c.buffer.size() < count) {
        if (!receive(c, limit)) {
            return false;
        }
    }
    into.append(c.buffer, 0, count);
    c.buffer.erase(0, count);
    return true;
}

bool take_chunks(connection& c, std::string& body, std::chrono::milliseconds limit)
{
    while (true) {
        std::string line;
        if (!take_until(c, line_end, line, limit)) {
            return false;
        }
        const auto size = std::strtoul(line.c_str(), nullptr, hexadecimal);
        std::string rest;
        if (!take_bytes(c, size, body, limit) || !take_until(c, line_end, rest, limit)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
}

void parse_head(const std::string& head, message& m)
{
    std::size_t from = 0;
    while (from <= head.size()) {
        const auto to = std::min(head.find(line_end, from), head.size());
        const auto line = head.substr(from, to - from);
        from = to + line_end.size();
        if (m.first_line.empty()) {
            m.first_line = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            m.headers.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
        }
    }
}

} // namespace

address parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        fail("not an address: " + text);
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

connection::~connection()
{
    ::close(fd);
}

int connect_to(const address& to)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto at = to_sockaddr(to);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    set_no_delay(fd);
    return fd;
}

void serve(const address& at, const std::function<void(connection&)>& serve_one)
{
    constexpr int backlog = 256;
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto own = to_sockaddr(at);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
        ::listen(listener, backlog) != 0) {
        fail("cannot listen on " + at.ip + ":" + std::to_string(at.port));
    }
    while (true) {
        const int fd = ::accept(listener, nullptr, nullptr);
        if (fd < 0) {
            continue;
        }
        set_no_delay(fd);
        std::thread([fd, serve_one] {
            connection c(fd);
            serve_one(c);
        }).detach();
    }
}

std::uint16_t free_port(const std::string& ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto at = to_sockaddr({ip, 0});
    socklen_t size = sizeof at;
    const bool is_bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), size) == 0 &&
                          ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    ::close(fd);
    if (!is_bound) {
        fail("no free port on " + ip);
    }
    return ntohs(at.sin_port);
}

bool receive(connection& c, std::chrono::milliseconds limit)
{
    constexpr std::size_t piece_bytes = 64UL * 1024;
    pollfd wanted{c.fd, POLLIN, 0};
    if (::poll(&wanted, 1, static_cast<int>(limit.count())) <= 0) {
        return false;
    }
    std::string piece(piece_bytes, '\0');
    const auto got = ::recv(c.fd, piece.data(), piece.size(), 0);
    if (got <= 0) {
        return false;
    }
    c.buffer.append(piece, 0, static_cast<std::size_t>(got));
    return true;
}

bool send_all(connection& c, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent = ::send(c.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::string message::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(headers, [&](const auto& h) {
        return ::strcasecmp(h.first.c_str(), std::string(name).c_str()) == 0;
    });
    return found == headers.end() ? std::string() : found->second;
}

std::string message::word(std::size_t n) const
{
    std::size_t from = 0;
    for (; n > 0 && from != std::string::npos; --n) {
        from = first_line.find(' ', from);
        from = from == std::string::npos ? from : from + 1;
    }
    return from == std::string::npos ? std::string()
                                     : first_line.substr(from, first_line.find(' ', from) - from);
}

std::string message::parameter(std::string_view name) const
{
    const auto target = word(1);
    const auto key = std::string(name) + "=";
    for (auto at = target.find_first_of("?&"); at != std::string::npos;
         at = target.find('&', at + 1)) {
        if (target.compare(at + 1, key.size(), key) == 0) {
            const auto from = at + 1 + key.size();
            return target.substr(from, target.find('&', from) - from);
        }
    }
    return {};
}

std::uint64_t message::number(std::string_view name) const
{
    const auto text = parameter(name);
    return text.empty() ? 0 : std::stoull(text);
}

bool read_head(connection& c, message& m, std::chrono::milliseconds limit)
{
    m = {};
    std::string head;
    if (!take_until(c, head_end, head, limit)) {
        return false;
    }
    parse_head(head, m);
    return true;
}

bool read_message(connection& c, message& m, std::chrono::milliseconds limit)
{
    if (!read_head(c, m, limit)) {
        return false;
    }
    if (m.header("Transfer-Encoding") == "chunked") {
        return take_chunks(c, m.body, limit);
    }
    const auto length = m.header("Content-Length");
    return take_bytes(c, length.empty() ? 0 : std::stoul(length), m.body, limit);
}

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void record(const std::string& file, const std::string& line)
{
    const auto text = std::to_string(now_ms()) + " " + line + "\n";
    const int fd = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
    if (fd >= 0) {
        [[maybe_unused]] const auto written = ::write(fd, text.data(), text.size());
        ::close(fd);
    }
}

} // namespace review
