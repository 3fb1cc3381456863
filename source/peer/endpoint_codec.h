#pragma once

#include "common/endpoint.h"

#include <nlohmann/json.hpp>

namespace almondquay {

/// Decodes an address that a peer has sent. Throws json::exception unless it is an IPv4 address:
/// sockets take no other.
inline endpoint decode_endpoint(const nlohmann::json& address, const nlohmann::json& port)
{
    endpoint at{address.get<std::string>(), port.get<std::uint16_t>()};
    if (!is_ipv4_address(at.address)) {
        throw nlohmann::json::other_error::create(0, "'" + at.address + "' is not an address",
                                                  nullptr);
    }
    return at;
}

} // namespace almondquay
