#pragma once

#include "common/result.h"
#include "common/strong_type.h"
#include "config/fleet_parts.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The versioned object that stores the fleet configuration and the operators' drains.
namespace almondquay {

enum class drain_kind { target, host, failure_domain, region };

/// An operator's request that a target, host, failure domain or region receives no new requests.
struct drain_mark {
    drain_kind kind = drain_kind::target;
    std::string name;

    auto operator<=>(const drain_mark&) const = default;
};

/// The fleet configuration text with its drains and the reason for the latest change. The
/// generation counts accepted changes; a host only applies a higher generation than its current
/// one.
struct fleet_envelope {
    generation number;
    std::string text;
    std::vector<drain_mark> drains; ///< sorted, no duplicates
    std::string changed_by;
    std::string reason;
    std::uint64_t changed_at_ms = 0; ///< wall-clock milliseconds since the epoch
    /// Replaces `text` if the store's protocol divides configurations; there may be no part in it.
    std::optional<fleet_parts> parts{};

    bool operator==(const fleet_envelope&) const = default;
};

/// Key of the object in the platform's store.
inline constexpr std::string_view fleet_object_key = "fleet";

/// Serialises all but the parts to JSON, the format used in the platform's store and between peers.
std::string encode(const fleet_envelope& envelope);

/// Errors: peer_message_malformed.
result<fleet_envelope> decode_fleet_envelope(std::string_view text);

/// A 64-bit hash of the whole envelope, compared by hosts to detect diverging configurations.
std::uint64_t fingerprint_of(const fleet_envelope& envelope);

/// "target", "host", "failure_domain" or "region". Errors: bad_value.
result<drain_kind> parse_drain_kind(std::string_view word);
std::string_view name_of(drain_kind kind);

/// Whether `marks` contains this drain mark.
bool has_drain(const std::vector<drain_mark>& marks, drain_kind kind, std::string_view name);

/// Adds or removes a mark, keeping the list sorted. Returns false if nothing changed.
bool set_drain(std::vector<drain_mark>& marks, const drain_mark& mark, bool drained);

} // namespace almondquay
