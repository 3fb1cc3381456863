#include "control/decisions.h"

#include <algorithm>

namespace almondquay {

std::string decide(control_state& state, effects& out, wall_time wall, decision_draft draft)
{
    state.clock = advance(state.clock, wall);
    ++state.decisions;
    decision made;
    made.host = state.self.host.value;
    made.id = made.host + "/" + std::to_string(state.self.life.value) + "/" +
              std::to_string(state.decisions);
    made.time = state.clock;
    made.kind = std::move(draft.kind);
    made.rule = std::move(draft.rule);
    made.summary = std::move(draft.summary);
    made.causes = std::move(draft.causes);
    made.inputs = std::move(draft.inputs);
    std::erase(made.causes, "");
    auto id = made.id;
    out.emplace_back(record_effect{std::move(made)});
    return id;
}

std::string change_id(const fleet_envelope& envelope)
{
    return "fleet/" + std::to_string(envelope.number.value);
}

} // namespace almondquay
