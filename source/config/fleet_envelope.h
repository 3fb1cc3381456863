#pragma once

#include "common/result.h"
#include "common/strong_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The one versioned object that holds what operators have decided.
namespace almondquay {

enum class drain_kind { target, host, failure_domain, region };

/// An operator's mark that a place is to get no new work.
struct drain_mark {
    drain_kind kind = drain_kind::target;
    std::string name;

    auto operator<=>(const drain_mark&) const = default;
};

/// The operators' text with its drains and the reason of the latest change. The generation
/// counts accepted changes; hosts only ever move to a higher one.
struct fleet_envelope {
    generation number;
    std::string text;
    std::vector<drain_mark> drains; ///< ascending, without repeats
    std::string changed_by;
    std::string reason;
    std::uint64_t changed_at_ms = 0; ///< wall milliseconds since the epoch

    bool operator==(const fleet_envelope&) const = default;
};

/// The platform's name of the object.
inline constexpr std::string_view fleet_object_key = "fleet";

/// JSON, as it is kept in the platform and passed between peers.
std::string encode(const fleet_envelope& envelope);

/// Errors: peer_message_malformed.
result<fleet_envelope> decode_fleet_envelope(std::string_view text);

/// A short fingerprint of the whole envelope, by which hosts notice disagreement.
std::uint64_t fingerprint_of(const fleet_envelope& envelope);

/// "target", "host", "failure_domain" or "region". Errors: bad_value.
result<drain_kind> parse_drain_kind(std::string_view word);
std::string_view name_of(drain_kind kind);

/// Whether `marks` contains this drain.
bool is_marked(const std::vector<drain_mark>& marks, drain_kind kind, std::string_view name);

/// Adds or removes a mark and keeps the order. False if nothing changed.
bool set_mark(std::vector<drain_mark>& marks, const drain_mark& mark, bool drained);

} // namespace almondquay
