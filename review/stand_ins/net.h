#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review. One thread serves one
/// connection.
namespace review {

/// An IPv4 address and port such as 127.0.0.1:8000.
struct address {
    std::string ip;
    std::uint16_t port = 0;
};

address parse_address(const std::string& text);

/// A TCP connection with the bytes that were received and not parsed yet.
struct connection {
    explicit connection(int handle) : fd(handle) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    int fd;
    std::string buffer;
};

/// Returns a negative number if the connection was not made.
int connect_to(const address& to);

/// Accepts connections for ever and serves each on a thread of its own.
[[noreturn]] void serve(const address& at, const std::function<void(connection&)>& serve_one);

/// A port of this IP address that is free now.
std::uint16_t free_port(const std::string& ip);

/// Receives more bytes, for `limit` at most. Returns false at the end of the stream, after a reset
/// or after `limit`.
bool receive(connection& c, std::chrono::milliseconds limit);

bool send_all(connection& c, std::string_view bytes);

struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// The value of the first header of this name, or an empty string.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// The n-th word of the first line.
    [[nodiscard]] std::string word(std::size_t n) const;
    /// The value of a parameter in the query of the request's target.
    [[nodiscard]] std::string parameter(std::string_view name) const;
    [[nodiscard]] std::uint64_t number(std::string_view name) const;
};

/// Reads the first line and the headers only.
bool read_head(connection& c, message& m, std::chrono::milliseconds limit);

/// Reads a request, or a response with a length or in chunks. A request without either has no body.
bool read_message(connection& c, message& m, std::chrono::milliseconds limit);

std::int64_t now_ms();

/// Appends a line, with the time before it, to a file that several processes share.
void record(const std::string& file, const std::string& line);

} // namespace review
