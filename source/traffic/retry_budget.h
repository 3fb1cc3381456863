#pragma once

#include "config/process_settings.h"

#include <cstddef>

namespace almondquay {

/// Bounds this host's retries to its part of what all hosts may send, so that retries cannot keep
/// an overload going. A bucket of tokens: in any window of time no more are taken than the slack
/// and the ratio of the window's requests.
struct retry_budget {
    double tokens = -1; ///< -1: before the first request
};

/// Part of the permitted ratio that is used, since requests and retries are counted by others at
/// slightly different times.
constexpr double used_part_of_ratio = 0.8;

/// Counts a first attempt. `hosts` share the slack.
void note_request(retry_budget& budget, const shared_budgets& bounds, std::size_t hosts);

/// Whether one more retry would be allowed.
bool has_retry(const retry_budget& budget);

/// Whether one more retry is allowed; if so it is paid for.
bool take_retry(retry_budget& budget);

} // namespace almondquay
