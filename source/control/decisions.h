#pragma once

#include "control/effect.h"
#include "control/state.h"

#include <string>
#include <vector>

namespace almondquay {

/// The parts of a decision that the deciding rule supplies.
struct decision_draft {
    std::string kind;
    std::string rule;
    std::string summary;
    std::vector<std::string> causes;
    std::vector<decision_input> inputs;
};

/// Numbers and times a decision, adds the effect that records it and returns its id.
std::string decide(control_state& state, effects& out, wall_time wall, decision_draft draft);

/// The id under which all hosts refer to the acceptance of a generation.
std::string change_id(const fleet_envelope& envelope);

} // namespace almondquay
