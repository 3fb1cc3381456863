#pragma once

#include "claims/claim_record.h"
#include "common/result.h"

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

/// Messages between hosts about claims. They may be lost, delayed, duplicated or reordered, so each
/// carries its claim id and is handled idempotently.
namespace almondquay {

/// The request may be run once, under this claim.
struct claim_granted {
    bool operator==(const claim_granted&) const = default;
};

/// The first request with this key ran; `answer` is its recorded response.
struct claim_replayed {
    claim_answer answer;

    bool operator==(const claim_replayed&) const = default;
};

/// The request was not run under this claim and will not be.
struct claim_refused {
    result_code code = result_code::ok;

    bool operator==(const claim_refused&) const = default;
};

using claim_verdict = std::variant<claim_granted, claim_replayed, claim_refused>;

/// To a bucket's owner: request to make this claim durable.
struct claim_request_message {
    claim_record claim;
    std::chrono::milliseconds time_left{0};

    bool operator==(const claim_request_message&) const = default;
};

/// From a bucket's owner: the decision on a claim.
struct verdict_message {
    claim_id id;
    claim_key key{};
    claim_verdict verdict;

    bool operator==(const verdict_message&) const = default;
};

/// To a bucket's owner: request to make this outcome durable.
struct outcome_message {
    outcome_record outcome;

    bool operator==(const outcome_message&) const = default;
};

/// From a bucket's owner: acknowledges that the outcome is durable.
struct outcome_ack_message {
    claim_id id;

    bool operator==(const outcome_ack_message&) const = default;
};

struct claim_message {
    host_id from;
    std::variant<claim_request_message, verdict_message, outcome_message, outcome_ack_message> body;

    bool operator==(const claim_message&) const = default;
};

/// Encodes as JSON.
std::string encode(const claim_message& message);

/// Errors: peer_message_malformed.
result<claim_message> decode_claim_message(std::string_view text);

} // namespace almondquay
