#pragma once

#include "control/effect.h"
#include "control/state.h"

#include <string>
#include <vector>

namespace almondquay {

/// The fields of a decision that its call site supplies.
struct decision_draft {
    std::string kind;
    std::string rule;
    std::string summary;
    std::vector<std::string> causes;
    std::vector<decision_input> inputs;
};

/// Assigns an id and a timestamp to a decision, emits the effect that records it and returns the
/// id.
std::string decide(control_state& state, effects& out, wall_time wall, decision_draft draft);

/// The id of the change that created this generation; it is the same on all hosts.
std::string change_id(const fleet_envelope& envelope);

} // namespace almondquay
