#pragma once

#include "common/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondquay {

/// An IPv4 address in dotted decimal form and a port. Host names are not resolved.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Parses "127.0.1.1:7000". Errors: bad_value.
result<endpoint> parse_endpoint(std::string_view text);

/// Parses a decimal port from 1 to 65535. Errors: bad_value.
result<std::uint16_t> parse_port(std::string_view text);

/// True for four dotted decimal numbers from 0 to 255.
bool is_ipv4_address(std::string_view text);

std::string to_string(const endpoint& e);

} // namespace almondquay
