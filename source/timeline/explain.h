#pragma once

#include "timeline/decision.h"

#include <string>
#include <vector>

namespace almondquay {

/// Merges the decisions of several hosts into causal order and removes duplicates.
std::vector<decision> merge_timelines(std::vector<std::vector<decision>> records);

/// A decision preceded by all its direct and indirect causes. Errors: decision_unknown.
result<std::vector<decision>> causal_chain(const std::vector<decision>& merged,
                                           const std::string& id);

/// Formats the chain for operators: time, host, summary, rule, inputs and causes of each decision.
std::string format_decision_chain(const std::vector<decision>& chain);

/// "2026-03-11T02:14:07.120Z".
std::string format_time(hybrid_time time);

} // namespace almondquay
