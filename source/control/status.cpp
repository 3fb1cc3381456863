#include "control/status.h"

#include "control/snapshot_builder.h"
#include "steering/lookup_plan.h"

namespace almondquay {

namespace {

std::string why_unusable(const control_state& state, const target_id& id)
{
    const auto t = state.fleet.configuration.targets.find(id);
    if (t != state.fleet.configuration.targets.end() &&
        is_drained(state.fleet.configuration, state.fleet.envelope->drains, t->second)) {
        return "drained";
    }
    const auto health = state.targets.find(id);
    return health == state.targets.end() ? "" : health->second.decided_by;
}

void add_targets(const control_state& state, host_status& status)
{
    const auto snapshot = build_snapshot(state);
    for (const auto& [name, routes] : snapshot->services) {
        for (const auto& route : routes.targets) {
            target_status t;
            t.id = route.id.value;
            t.service = name;
            t.usable = route.usable;
            t.share = route.slots;
            t.why = route.usable || route.is_spill ? "" : why_unusable(state, route.id);
            status.targets.push_back(std::move(t));
        }
    }
}

} // namespace

host_status make_status(const control_state& state)
{
    host_status status;
    status.host = state.self.host.value;
    status.domain = state.self.domain.value;
    status.life = state.self.life.value;
    status.ready = state.stage == life_stage::serving;
    status.leaving = state.stage == life_stage::leaving || state.stage == life_stage::ending;
    status.platform_reachable = state.fleet.platform_reachable;
    for (const auto& [id, m] : state.membership.members) {
        status.members.push_back({id.value, m.alive, m.leaving});
    }
    for (const auto& [fingerprint, q] : state.quarantined) {
        status.quarantined.push_back({std::to_string(fingerprint), q.description});
    }
    if (state.fleet.envelope) {
        status.in_force = state.fleet.envelope->number.value;
        status.fingerprint = state.fleet.fingerprint;
        status.in_force_since_ms = milliseconds_of(state.fleet.since);
        add_targets(state, status);
    }
    return status;
}

} // namespace almondquay
