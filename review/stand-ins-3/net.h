// Blocking sockets and HTTP/1.1 messages for the stand-ins.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace net {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline double unix_seconds()
{
    using namespace std::chrono;
    return duration<double>(system_clock::now().time_since_epoch()).count();
}

inline std::uint64_t unix_ms()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(
        duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

inline sockaddr_in address_of(const std::string& text)
{
    sockaddr_in a{};
    const auto colon = text.rfind(':');
    a.sin_family = AF_INET;
    if (colon == std::string::npos ||
        inet_pton(AF_INET, text.substr(0, colon).c_str(), &a.sin_addr) != 1) {
        std::fprintf(stderr, "not an address: %s\n", text.c_str());
        std::exit(2);
    }
    a.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    return a;
}

inline void set_no_delay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int listen_at(const std::string& at)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto a = address_of(at);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 || listen(fd, 512) != 0) {
        std::perror(at.c_str());
        std::exit(2);
    }
    return fd;
}

template <class Serve> void accept_forever(const std::string& at, Serve serve)
{
    const int listener = listen_at(at);
    while (true) {
        const int fd = accept(listener, nullptr, nullptr);
        if (fd >= 0) {
            set_no_delay(fd);
            std::thread([fd, serve] {
                serve(fd);
                close(fd);
            }).detach();
        }
    }
}

// Returns -1 if the connection is not established within the limit.
inline int connect_to(const std::string& to, milliseconds limit)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const auto a = address_of(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
        pollfd p{fd, POLLOUT, 0};
        int problem = errno;
        if (problem == EINPROGRESS && poll(&p, 1, static_cast<int>(limit.count())) == 1) {
            socklen_t size = sizeof problem;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &problem, &size);
        }
        if (problem != 0) {
            close(fd);
            return -1;
        }
    }
    set_no_delay(fd);
    return fd;
}

// Sends all bytes; returns false if the connection ends first.
inline bool send_all(int fd, const char* data, std::size_t size)
{
    while (size > 0) {
        const auto n = send(fd, data, size, MSG_NOSIGNAL);
        if (n > 0) {
            data += n;
            size -= static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            pollfd p{fd, POLLOUT, 0};
            if (poll(&p, 1, 30'000) == 1) {
                continue;
            }
        }
        return false;
    }
    return true;
}

inline bool send_all(int fd, const std::string& text)
{
    return send_all(fd, text.data(), text.size());
}

inline std::string lower(std::string text)
{
    for (auto& c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

struct message {
    std::string first;                          // request line or status line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string word(int n) const
    {
        std::size_t at = 0;
        for (; n > 0 && at != std::string::npos; --n) {
            at = first.find(' ', at);
            at = at == std::string::npos ? at : at + 1;
        }
        return at == std::string::npos ? "" : first.substr(at, first.find(' ', at) - at);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

enum class read_result { ok, closed, timeout, malformed };

// Reads messages from a connection. What follows a message stays for the next one.
class reader {
public:
    explicit reader(int fd) : fd_(fd) {}

    read_result read(message& m, clock::time_point deadline)
    {
        m = {};
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (const auto r = more(deadline); r != read_result::ok) {
                return r;
            }
        }
        if (!parse_head(m, end)) {
            return read_result::malformed;
        }
        buffer_.erase(0, end + 4);
        if (lower(m.header("transfer-encoding")) == "chunked") {
            return read_chunks(m, deadline);
        }
        const auto length = m.header("content-length");
        const std::size_t size = length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
        while (buffer_.size() < size) {
            if (const auto r = more(deadline); r != read_result::ok) {
                m.body = buffer_;
                return r;
            }
        }
        m.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return read_result::ok;
    }

private:
    read_result more(clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - clock::now());
        pollfd p{fd_, POLLIN, 0};
        if (left.count() <= 0 || poll(&p, 1, static_cast<int>(left.count())) == 0) {
            return read_result::timeout;
        }
        char piece[65536];
        const auto n = recv(fd_, piece, sizeof piece, 0);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return read_result::ok;
        }
        if (n <= 0) {
            return read_result::closed;
        }
        buffer_.append(piece, static_cast<std::size_t>(n));
        return read_result::ok;
    }

    bool parse_head(message& m, std::size_t end) const
    {
        std::size_t at = buffer_.find("\r\n");
        m.first = buffer_.substr(0, at);
        while (at < end) {
            const auto next = std::min(buffer_.find("\r\n", at + 2), end);
            const auto line = buffer_.substr(at + 2, next - at - 2);
            const auto colon = line.find(':');
            if (colon == std::string::npos || colon == 0) {
                return false;
            }
            const auto start = line.find_first_not_of(" \t", colon + 1);
            m.headers[lower(line.substr(0, colon))] =
                start == std::string::npos ? "" : line.substr(start);
            at = next;
        }
        return m.first.find("HTTP/1.") != std::string::npos;
    }

    read_result read_chunks(message& m, clock::time_point deadline)
    {
        while (true) {
            std::size_t line = 0;
            while ((line = buffer_.find("\r\n")) == std::string::npos) {
                if (const auto r = more(deadline); r != read_result::ok) {
                    return r;
                }
            }
            const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line + 2 + size + 2) {
                if (const auto r = more(deadline); r != read_result::ok) {
                    return r;
                }
            }
            m.body += buffer_.substr(line + 2, size);
            buffer_.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return read_result::ok;
            }
        }
    }

    int fd_;
    std::string buffer_;
};

inline std::string parameter(const std::string& target, const std::string& name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto next = target.find('&', at + 1);
        const auto part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
        at = next;
    }
    return {};
}

inline std::uint64_t number(const std::string& text, std::uint64_t fallback)
{
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

// FNV-1a.
inline std::string digest(const std::string& text)
{
    std::uint64_t h = 14695981039346656037ULL;
    for (const unsigned char c : text) {
        h = (h ^ c) * 1099511628211ULL;
    }
    char hex[17];
    std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(h));
    return hex;
}

// The value of an option "--name VALUE".
inline std::string option(int argc, char** argv, const std::string& name, const char* fallback = "")
{
    for (int i = 1; i + 1 < argc; ++i) {
        if (argv[i] == "--" + name) {
            return argv[i + 1];
        }
    }
    return fallback;
}

} // namespace net
