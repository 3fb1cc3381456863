#pragma once

#include "common/result.h"
#include "common/strong_type.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace almondquay {

/// A hash of a request's service, method, path and the first bytes of its body.
using request_fingerprint = std::uint64_t;

/// Report that a request was in flight at a target when the target closed all its connections.
struct crash_evidence {
    request_fingerprint fingerprint = 0;
    std::string description; ///< service, method and path, for display
    target_id target;

    bool operator==(const crash_evidence&) const = default;
};

/// Encodes as JSON.
std::string encode(const crash_evidence& evidence);

/// Errors: peer_message_malformed.
result<crash_evidence> decode_crash_evidence(std::string_view text);

} // namespace almondquay
