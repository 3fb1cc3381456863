#pragma once

#include "traffic/forward.h"

/// Requests that must not repeat: claimed before they run, recorded after.
namespace almondquay {

/// How a request that must not repeat ended.
struct claimed_end {
    forward_end end;
    std::optional<claim_answer> replayed; ///< the first answer, for a caller that asked again
};

inline constexpr std::string_view key_header = "Idempotency-Key";

/// Claims the request's key, forwards the request if the claim is granted, and records how it
/// ended. What a refusal says of the work goes by the key: "not-run" only if no request with this
/// key runs or has run.
asio::awaitable<claimed_end> forward_claimed(worker& w, caller_request& request);

} // namespace almondquay
