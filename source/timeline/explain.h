#pragma once

#include "timeline/decision.h"

#include <string>
#include <vector>

namespace almondquay {

/// Merges the records of several hosts in causal order without repeats.
std::vector<decision> merge_timelines(std::vector<std::vector<decision>> records);

/// One decision with all the decisions that led to it, causes first. Errors: decision_unknown.
result<std::vector<decision>> causes_of(const std::vector<decision>& merged, const std::string& id);

/// The chain as text for someone who was asleep: time, host, what, why and from which values.
std::string explain(const std::vector<decision>& chain);

/// "2026-03-11T02:14:07.120Z".
std::string format_time(hybrid_time time);

} // namespace almondquay
