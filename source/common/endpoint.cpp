#include "common/endpoint.h"

#include <charconv>

#include <arpa/inet.h>

namespace almondquay {

namespace {

std::string quoted(std::string_view text)
{
    std::string all(1, '\'');
    all += text;
    all += '\'';
    return all;
}

} // namespace

bool is_ipv4_address(std::string_view text)
{
    in_addr parsed{};
    return text.find('\0') == std::string_view::npos &&
           inet_pton(AF_INET, std::string(text).c_str(), &parsed) == 1;
}

result<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (problem != std::errc{} || end != text.data() + text.size() || port == 0) {
        return error{result_code::bad_value, quoted(text) + " is not a port"};
    }
    return port;
}

result<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_ipv4_address(text.substr(0, colon))) {
        return error{result_code::bad_value,
                     quoted(text) + " is not an address such as 127.0.1.1:7000"};
    }
    const auto port = parse_port(text.substr(colon + 1));
    if (!succeeded(port)) {
        return error_of(port);
    }
    return endpoint{std::string(text.substr(0, colon)), value_of(port)};
}

std::string to_string(const endpoint& e)
{
    return e.address + ":" + std::to_string(e.port);
}

} // namespace almondquay
