#pragma once

#include "claims/claim_message.h"
#include "store/object_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Input events and output effects of the claim reducer.
namespace almondquay {

/// Identifies a claim within one incarnation of this host; the traffic threads use it as a handle.
using claim_number = std::uint64_t;

/// Correlation id of one platform call; distinguishes the awaited response from late and duplicate
/// ones.
using store_call = std::uint64_t;

/// Reads one segment. Completes with a claim_read_event.
struct read_claims_effect {
    store_call call = 0;
    std::string key;
};

/// Writes one segment if it still has version `expected`; without a version, creates it. Completes
/// with a claim_written_event.
struct write_claims_effect {
    store_call call = 0;
    std::string key;
    std::optional<object_version> expected;
    std::string body;
};

/// Sends a message to a host, fire and forget.
struct claim_message_effect {
    host_id to;
    claim_message message;
};

/// Resolves the waiting request. Emitted at most once for each claim number.
struct claim_verdict_effect {
    std::uint64_t request = 0;
    claim_number number = 0;
    claim_verdict verdict;
};

using claim_effect = std::variant<read_claims_effect, write_claims_effect, claim_message_effect,
                                  claim_verdict_effect>;
using claim_effects = std::vector<claim_effect>;

/// A non-repeatable request has arrived at this host.
struct claim_requested_event {
    std::uint64_t request = 0; ///< the request's id on the traffic thread
    claim_key key{};
    std::uint64_t digest = 0;
    monotonic_time deadline{};
};

/// A granted request has completed.
struct claim_finished_event {
    claim_number number = 0;
    claim_end end = claim_end::unknown;
    claim_answer answer;
};

struct claim_read_event {
    store_call call = 0;
    result<stored_object> object;
};

struct claim_written_event {
    store_call call = 0;
    result<object_version> version;
};

struct claim_message_event {
    claim_message message;
};

struct claim_tick_event {};

using claim_event = std::variant<claim_requested_event, claim_finished_event, claim_read_event,
                                 claim_written_event, claim_message_event, claim_tick_event>;

} // namespace almondquay
