#pragma once

namespace almondquay {

/// Bounds retries to a part of the first attempts, so that retries cannot keep an overload going.
struct retry_budget {
    double tokens = 10.0;
};

/// What each first attempt adds: one retry for every ten requests.
constexpr double retry_tokens_per_request = 0.1;
/// What a quiet time can save up.
constexpr double max_retry_tokens = 10.0;

void note_request(retry_budget& budget);

/// Whether one more retry is allowed; if so it is paid for.
bool take_retry(retry_budget& budget);

} // namespace almondquay
