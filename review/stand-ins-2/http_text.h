#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Blocking HTTP/1.1 over sockets for the stand-ins: one thread per connection.
namespace stand_in {

using clock = std::chrono::steady_clock;

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now().time_since_epoch())
        .count();
}

/// Appends whole lines to a file that several processes share.
class record_file {
public:
    explicit record_file(const std::string& path)
        : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644))
    {
    }

    void line(const std::string& who, const std::string& text)
    {
        const auto whole = std::to_string(now_ms()) + " " + who + " " + text + "\n";
        [[maybe_unused]] const auto ignored = ::write(file_, whole.data(), whole.size());
    }

private:
    int file_;
};

struct address {
    sockaddr_in in{};
};

inline address parse_address(const std::string& text)
{
    address a;
    const auto colon = text.rfind(':');
    a.in.sin_family = AF_INET;
    a.in.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &a.in.sin_addr);
    return a;
}

inline int listen_at(const std::string& text)
{
    const auto at = parse_address(text);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&at.in), sizeof at.in) != 0 ||
        ::listen(fd, 128) != 0) {
        std::perror(("listen " + text).c_str());
        std::exit(2);
    }
    return fd;
}

/// Returns -1 if the connection is not made within `limit_ms`.
inline int connect_to(const std::string& text, int limit_ms = 1000)
{
    const auto at = parse_address(text);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int started = ::connect(fd, reinterpret_cast<const sockaddr*>(&at.in), sizeof at.in);
    int problem = started == 0 ? 0 : errno;
    if (problem == EINPROGRESS) {
        pollfd p{fd, POLLOUT, 0};
        socklen_t size = sizeof problem;
        problem = ETIMEDOUT;
        if (::poll(&p, 1, limit_ms) == 1) {
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &problem, &size);
        }
    }
    if (problem != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, std::string_view text)
{
    while (!text.empty()) {
        const auto sent = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/// Bytes that were received but not yet used.
struct stream {
    int fd = -1;
    std::string buffer;
    bool ended = false;

    /// Reads more bytes; false at the end, at an error or if none arrive before `until_ms`.
    bool read_more(std::int64_t until_ms)
    {
        const auto left = until_ms - now_ms();
        pollfd p{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&p, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char piece[16384];
        const auto got = ::recv(fd, piece, sizeof piece, 0);
        if (got <= 0) {
            ended = true;
            return false;
        }
        buffer.append(piece, static_cast<std::size_t>(got));
        return true;
    }
};

constexpr std::int64_t one_hour_ms = 3'600'000;

struct message {
    std::string start; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const
    {
        for (const auto& [key, value] : headers) {
            if (key.size() == name.size() &&
                ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
                return value;
            }
        }
        return {};
    }
    /// The lines of a name that occurs several times, joined as RFC 9110, 5.2 says.
    [[nodiscard]] std::string combined(std::string_view name) const
    {
        std::string all;
        for (const auto& [key, value] : headers) {
            if (key.size() == name.size() &&
                ::strncasecmp(key.data(), name.data(), name.size()) == 0) {
                all += (all.empty() ? "" : ", ") + value;
            }
        }
        return all;
    }
    [[nodiscard]] std::string word(std::size_t index) const
    {
        std::size_t at = 0;
        for (std::size_t i = 0; i < index && at != std::string::npos; ++i) {
            at = start.find(' ', at);
            at = at == std::string::npos ? at : at + 1;
        }
        return at == std::string::npos ? std::string() : start.substr(at, start.find(' ', at) - at);
    }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

inline std::optional<message> read_head(stream& in, std::int64_t until_ms)
{
    std::size_t end = 0;
    while ((end = in.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!in.read_more(until_ms)) {
            return std::nullopt;
        }
    }
    message m;
    std::size_t at = 0;
    while (at < end + 2) {
        const auto stop = in.buffer.find("\r\n", at);
        const auto text = in.buffer.substr(at, stop - at);
        at = stop + 2;
        if (m.start.empty()) {
            m.start = text;
            continue;
        }
        const auto colon = text.find(':');
        const auto first =
            colon == std::string::npos ? colon : text.find_first_not_of(' ', colon + 1);
        m.headers.emplace_back(text.substr(0, colon),
                               first == std::string::npos ? "" : text.substr(first));
    }
    in.buffer.erase(0, end + 4);
    return m;
}

inline bool read_exactly(stream& in, std::size_t size, std::string& into, std::int64_t until_ms)
{
    while (in.buffer.size() < size) {
        if (!in.read_more(until_ms)) {
            return false;
        }
    }
    into += in.buffer.substr(0, size);
    in.buffer.erase(0, size);
    return true;
}

/// Reads the body that the headers announce.
inline bool read_body(stream& in, message& m, std::int64_t until_ms)
{
    if (!m.header("Transfer-Encoding").empty()) {
        while (true) {
            std::size_t end = 0;
            while ((end = in.buffer.find("\r\n")) == std::string::npos) {
                if (!in.read_more(until_ms)) {
                    return false;
                }
            }
            const auto size = std::stoul(in.buffer.substr(0, end), nullptr, 16);
            in.buffer.erase(0, end + 2);
            std::string line_end;
            if (!read_exactly(in, size, m.body, until_ms) ||
                !read_exactly(in, 2, line_end, until_ms)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }
    const auto length = m.header("Content-Length");
    return length.empty() || read_exactly(in, std::stoul(length), m.body, until_ms);
}

/// The value of a parameter of the query, or an empty string.
inline std::string parameter(const std::string& target, const std::string& name)
{
    const auto mark = target.find('?');
    std::string rest = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
    const auto at = rest.find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    rest = rest.substr(at + name.size() + 2);
    return rest.substr(0, rest.find('&'));
}

inline long number_parameter(const std::string& target, const std::string& name, long fallback)
{
    const auto text = parameter(target, name);
    return text.empty() ? fallback : std::stol(text);
}

/// The body that a server sends for a path: a client can tell whether it got all of it.
inline std::string body_for(const std::string& target, std::size_t size)
{
    std::uint32_t mix = 2166136261U;
    for (const char c : target) {
        mix = (mix ^ static_cast<unsigned char>(c)) * 16777619U;
    }
    std::string body(size, ' ');
    for (auto& c : body) {
        mix = mix * 1664525U + 1013904223U;
        c = static_cast<char>('a' + (mix >> 24U) % 26);
    }
    return body;
}

inline std::string argument(int argc, char** argv, const std::string& name,
                            const std::string& fallback = "")
{
    for (int i = 1; i + 1 < argc; ++i) {
        if (argv[i] == "--" + name) {
            return argv[i + 1];
        }
    }
    return fallback;
}

/// Sends a request on a new connection and reads the answer.
inline std::optional<message> call(const std::string& to, const std::string& text, int limit_ms)
{
    const auto until = now_ms() + limit_ms;
    stream in;
    in.fd = connect_to(to, limit_ms);
    if (in.fd < 0) {
        return std::nullopt;
    }
    std::optional<message> answer;
    if (send_all(in.fd, text)) {
        answer = read_head(in, until);
        if (answer && !read_body(in, *answer, until)) {
            answer.reset();
        }
    }
    ::close(in.fd);
    return answer;
}

} // namespace stand_in
