#pragma once

#include "traffic/forward.h"
#include "traffic/outcome.h"

/// Non-idempotent requests: their idempotency key is claimed before they are forwarded, and their
/// outcome is recorded afterwards.
namespace almondquay {

/// Result of a non-idempotent request.
struct claimed_result {
    forward_result end;
    std::optional<claim_answer> replayed; ///< the stored first response, if the key was used before
};

/// Claims the request's idempotency key, forwards the request if the claim is granted, and records
/// the outcome. The outcome in a refusal refers to the key: it is "not-run" only if no request with
/// this key is running or has run.
asio::awaitable<claimed_result> forward_claimed(worker& w, caller_request& request);

} // namespace almondquay
