#pragma once

#include "config/process_settings.h"

#include <cstddef>

namespace almondquay {

/// Limits this host's retries to its share of the budget of all hosts, so that retries cannot
/// sustain an overload. Token bucket: within any time window, retries do not exceed `retry_slack`
/// plus `retry_ratio` multiplied by the requests in that window.
struct retry_budget {
    double tokens = -1; ///< -1: before the first request
};

/// Fraction of the permitted ratio that is used. The margin is needed because hosts count
/// requests and retries at slightly different times.
constexpr double ratio_safety_factor = 0.8;

/// Adds the tokens for the first attempt of a request. Each of `hosts` hosts has an equal share of
/// the slack.
void note_request(retry_budget& budget, const shared_budgets& bounds, std::size_t hosts);

/// Whether a token for one more retry is available.
bool has_retry(const retry_budget& budget);

/// Takes the token for one retry. Returns false if none is available.
bool take_retry(retry_budget& budget);

} // namespace almondquay
