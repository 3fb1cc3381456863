#include "control/reducer.h"

#include "common/overloaded.h"
#include "control/claim_bridge.h"
#include "control/decisions.h"
#include "control/fleet_adoption.h"
#include "control/inventory_sync.h"
#include "control/membership.h"
#include "control/peer_inventory.h"
#include "control/quarantine.h"
#include "control/snapshot_builder.h"
#include "control/target_health.h"
#include "control/target_limits.h"
#include "control/unreachable_targets.h"

namespace almondquay {

namespace {

void request_stop(control_state& state, const event& e, effects& out)
{
    const bool is_stopping =
        state.stage == life_stage::leaving || state.stage == life_stage::ending;
    if (is_stopping) {
        return;
    }
    const auto full_grace = state.fleet.configuration.settings.lookup_ttl + leave_margin;
    const bool is_bounded = state.self.stop_grace.count() != 0;
    const auto grace =
        is_bounded ? std::min(full_grace, state.self.stop_grace / leave_grace_divisor) : full_grace;
    state.stage = life_stage::leaving;
    state.leave_deadline = e.now + grace;
    state.stop_deadline = is_bounded ? e.now + state.self.stop_grace : monotonic_time{};
    state.snapshot_is_stale = true;
    state.stop_decision =
        decide(state, out, e.wall,
               {"leave",
                "a stopping host serves until the look-up answers that list it have expired",
                "This host is leaving: it is removed from look-up answers and still serves.",
                {},
                {{"grace_ms", std::to_string(grace.count())}}});
    ++state.membership.own_beat; // Peers ignore a message whose heartbeat they already know.
    announce(state, out);
}

void tick_stop(control_state& state, const event& e, effects& out)
{
    if (state.stage == life_stage::leaving && e.now >= state.leave_deadline) {
        state.stage = life_stage::ending;
        decide(state, out, e.wall,
               {"stop_traffic",
                "after the grace period no new requests are accepted",
                "This host accepts no new requests and completes the running ones.",
                {state.stop_decision},
                {}});
        out.emplace_back(stop_traffic_effect{});
    }
}

void end_process(control_state& state, const event& e, effects& out)
{
    decide(state, out, e.wall,
           {"exit",
            "a host exits once its last request has completed",
            "This host exits.",
            {state.stop_decision},
            {}});
    out.emplace_back(exit_effect{});
}

void tick(control_state& state, const event& e, effects& out)
{
    drop_confirmations_after_suspension(state, e);
    tick_membership(state, e, out);
    tick_fleet(state, e, out);
    tick_inventory(state, e, out);
    tick_health(state, e, out);
    tick_unreachable(state, e, out);
    tick_quarantine(state, e, out);
    tick_limits(state, e);
    tick_stop(state, e, out);
    handle_claim_event(state, e, claim_tick_event{}, out);
}

} // namespace

control_state make_control_state(host_identity self, std::uint64_t seed)
{
    control_state state;
    state.self = std::move(self);
    state.random.seed(seed);
    update_claim_view(state);
    return state;
}

effects reduce(control_state& state, const event& e)
{
    effects out;
    state.now = e.now;
    if (state.started == monotonic_time{}) {
        state.started = e.now;
    }
    std::visit(
        overloaded{
            [&](const tick_event&) { tick(state, e, out); },
            [&](const fleet_read_event& body) { handle_fleet_read(state, e, body, out); },
            [&](const fleet_written_event& body) { handle_fleet_written(state, body); },
            [&](const peer_fleet_event& body) { handle_peer_fleet(state, e, body, out); },
            [&](const gossip_event& body) { handle_gossip(state, e, body.message, out); },
            [&](const target_report_event& body) { handle_target_report(state, e, body, out); },
            [&](const probe_ended_event& body) { handle_probe_result(state, e, body, out); },
            [&](const stop_requested_event&) { request_stop(state, e, out); },
            [&](const traffic_ended_event&) { end_process(state, e, out); },
            [&](const crash_evidence_event& body) { handle_crash_evidence(state, e, body, out); },
            [&](const request_cleared_event& body) { clear_suspect(state, body); },
            [&](const request_released_event& body) { release_request(state, e, body, out); },
            [&](const inventory_read_event& body) { handle_inventory_page(state, e, body, out); },
            [&](const host_registered_event& body) { handle_host_registered(state, e, body, out); },
            [&](const peer_inventory_event& body) { handle_peer_inventory(state, e, body, out); },
            [&](const settings_changed_event& body) { state.self.seeds = body.seeds; },
            [&](const permit_wanted_event& body) { handle_permit_wanted(state, e, body, out); },
            [&](const claim_event& body) { handle_claim_event(state, e, body, out); },
        },
        e.body);
    // Changes of hosts are batched until the next tick: in a large fleet many hosts change per
    // second, and every snapshot is built from scratch.
    const bool is_tick = std::holds_alternative<tick_event>(e.body);
    if (state.snapshot_is_stale || (state.hosts_changed && is_tick)) {
        state.snapshot_is_stale = false;
        state.hosts_changed = false;
        apply_inventory_to_fleet(state);
        update_claim_view(state);
        out.emplace_back(publish_effect{build_snapshot(state)});
    }
    return out;
}

} // namespace almondquay
