#pragma once

#include "common/hybrid_clock.h"
#include "common/result.h"

#include <string>
#include <string_view>
#include <vector>

/// Decisions as records: what was decided, from what, by which rule and because of what.
namespace almondquay {

/// One value that a decision looked at.
struct decision_input {
    std::string name;
    std::string value;

    bool operator==(const decision_input&) const = default;
};

struct decision {
    std::string id; ///< "host/incarnation/number", unique for ever
    hybrid_time time;
    std::string host;
    std::string kind;                ///< such as "adopt_fleet"
    std::string rule;                ///< the rule that chose, as one sentence
    std::string summary;             ///< what was decided, as one sentence
    std::vector<std::string> causes; ///< ids of the decisions that led to this one
    std::vector<decision_input> inputs;

    bool operator==(const decision&) const = default;
};

/// JSON array of decisions, as it is passed between processes and printed with --json.
std::string encode(const std::vector<decision>& decisions);

/// Errors: peer_message_malformed.
result<std::vector<decision>> decode_decisions(std::string_view text);

} // namespace almondquay
