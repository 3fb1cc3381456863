#pragma once

#include "common/result.h"
#include "common/strong_type.h"
#include "config/fleet_parts.h"

#include <cstdint>
#include <string>
#include <string_view>

/// A change of the configuration, or the whole of it, as exchanged between peers.
namespace almondquay {

struct fleet_change {
    /// Applies to every generation from this one up to `number`; 0: contains the whole
    /// configuration.
    generation since;
    generation number;             ///< the generation after the change
    std::uint64_t fingerprint = 0; ///< of all parts after the change
    parts_change parts;

    bool operator==(const fleet_change&) const = default;
};

/// Encodes as CBOR, packed.
std::string encode(const fleet_change& change);

/// Errors: peer_message_malformed.
result<fleet_change> decode_fleet_change(std::string_view text);

} // namespace almondquay
