#pragma once

#include "common/hybrid_clock.h"
#include "common/result.h"

#include <string>
#include <string_view>
#include <vector>

/// Decision records: what a host decided, from which inputs, by which rule and with which causes.
namespace almondquay {

/// One value that a decision was based on.
struct decision_input {
    std::string name;
    std::string value;

    bool operator==(const decision_input&) const = default;
};

struct decision {
    std::string id; ///< "host/incarnation/number", globally unique
    hybrid_time time;
    std::string host;
    std::string kind;                ///< such as "adopt_fleet"
    std::string rule;                ///< the rule that was applied, as one sentence
    std::string summary;             ///< what was decided, as one sentence
    std::vector<std::string> causes; ///< ids of the decisions that led to this one
    std::vector<decision_input> inputs;

    bool operator==(const decision&) const = default;
};

/// Serialises to a JSON array, the format used between processes and for --json output.
std::string encode(const std::vector<decision>& decisions);

/// Errors: peer_message_malformed.
result<std::vector<decision>> decode_decisions(std::string_view text);

} // namespace almondquay
