#include "control/unreachable_targets.h"

#include "control/decisions.h"
#include "control/membership.h"

namespace almondquay {

namespace {

/// Excludes a target for `unreachable_time`. Returns whether it was not excluded before.
bool exclude_target(control_state& state, const event& e, const target_id& id,
                    const host_id& reporter, effects& out)
{
    auto& health = state.targets[id];
    const bool is_new = health.unreachable_until == monotonic_time{};
    health.unreachable_until = e.now + unreachable_time;
    if (!is_new) {
        return false;
    }
    state.snapshot_is_stale = true;
    decide(state, out, e.wall,
           {"leave_out_target",
            "a target that refused a connection from a host of the region is excluded for a fixed "
            "time",
            "Target " + id.value + " refused a connection and is excluded.",
            {},
            {{"target", id.value}, {"refused", reporter.value}}});
    return true;
}

void notify_region(control_state& state, effects& out)
{
    auto& unreported = state.unreported_unreachable;
    auto message = make_message(state);
    while (!unreported.empty() && message.unreachable.size() < max_unreachable_per_message) {
        message.unreachable.push_back(std::move(unreported.extract(unreported.begin()).value()));
    }
    const auto home = region_of(state.fleet.configuration, state.self.domain);
    for (const auto& [id, h] : state.fleet.configuration.hosts) {
        const auto known = state.membership.members.find(id);
        const bool is_dead = known != state.membership.members.end() && !known->second.alive;
        if (id != state.self.host && !is_dead &&
            region_of(state.fleet.configuration, h.domain) == home) {
            out.emplace_back(send_gossip_effect{h.peers, message});
        }
    }
}

} // namespace

void handle_refused_connection(control_state& state, const event& e, const target_id& id,
                               effects& out)
{
    // Without an inventory each host has fixed shares of the targets of its domain and soon detects
    // the failure by itself.
    if (state.self.has_inventory && exclude_target(state, e, id, state.self.host, out)) {
        state.unreported_unreachable.insert(id);
    }
}

void handle_unreachable_report(control_state& state, const event& e, const gossip_message& message,
                               effects& out)
{
    for (const auto& id : message.unreachable) {
        if (state.fleet.configuration.targets.contains(id)) {
            exclude_target(state, e, id, message.from, out);
            state.unreported_unreachable.erase(id);
        }
    }
}

void tick_unreachable(control_state& state, const event& e, effects& out)
{
    for (auto& [id, health] : state.targets) {
        if (health.unreachable_until != monotonic_time{} && e.now >= health.unreachable_until) {
            health.unreachable_until = {};
            state.snapshot_is_stale = true;
            decide(state, out, e.wall,
                   {"try_target_again",
                    "the exclusion of a target ends after a fixed time",
                    "Target " + id.value + " may be sent requests again.",
                    {},
                    {{"target", id.value}}});
        }
    }
    if (!state.unreported_unreachable.empty()) {
        notify_region(state, out);
    }
}

} // namespace almondquay
