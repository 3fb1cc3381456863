#include "control/snapshot_builder.h"

#include "control/membership.h"
#include "control/target_health.h"
#include "steering/lookup_plan.h"
#include "steering/slot_share.h"

#include <algorithm>

namespace almondquay {

namespace {

world_view view_of(const control_state& state)
{
    world_view world;
    world.live_hosts = live_hosts(state);
    world.dead_targets = dead_targets(state);
    if (state.fleet.envelope) {
        world.drains = state.fleet.envelope->drains;
    }
    return world;
}

/// The place of this host among all hosts of its domain that the text lists, dead or alive.
struct host_position {
    std::size_t position = 0;
    std::size_t hosts = 0;
};

host_position position_of(const control_state& state)
{
    const auto all = hosts_of(state.fleet.text, state.self.domain);
    const auto found = std::ranges::find(all, state.self.host, &host::id);
    return {static_cast<std::size_t>(found - all.begin()), all.size()};
}

target_route make_route(const control_state& state, const world_view& world,
                        const host_position& place, const target& t)
{
    target_route route;
    route.id = t.id;
    route.address = t.address;
    route.slots = share_of(t.slots.value, t.id, place.position, place.hosts);
    route.connections = share_of(t.connections, t.id, place.position, place.hosts);
    route.sheds_unrun = t.sheds_unrun;
    route.usable =
        !world.dead_targets.contains(t.id) && !is_drained(state.fleet.text, world.drains, t);
    return route;
}

/// Adds the targets of the own failure domain to their services.
void add_targets(const control_state& state, const world_view& world, routing_snapshot& snapshot)
{
    const auto place = position_of(state);
    for (const auto& [id, t] : state.fleet.text.targets) {
        if (t.domain == state.self.domain) {
            snapshot.services[t.serves.value].targets.push_back(make_route(state, world, place, t));
        }
    }
}

void add_answers(const control_state& state, const place_index& places, const service& s,
                 service_routes& routes)
{
    const auto& text = state.fleet.text;
    routes.definition = s;
    for (const auto& [id, r] : text.regions) {
        const auto choices = choose_hosts(text, places, s.id, id);
        routes.lookup_answers[id] =
            lookup_answer(text, s.id, state.fleet.envelope->number, choices);
    }
}

} // namespace

snapshot_ptr build_snapshot(const control_state& state)
{
    boost::intrusive_ptr<routing_snapshot> snapshot(new routing_snapshot);
    snapshot->ready = state.stage != life_stage::starting;
    snapshot->leaving = state.stage == life_stage::leaving || state.stage == life_stage::ending;
    snapshot->home = region_of(state.fleet.text, state.self.domain);
    snapshot->blocks = state.fleet.blocks ? state.fleet.blocks : make_block_table({});
    for (const auto& [fingerprint, q] : state.quarantined) {
        snapshot->quarantined.insert(fingerprint);
    }
    if (!state.fleet.envelope) {
        return snapshot;
    }
    snapshot->in_force = state.fleet.envelope->number;
    const auto world = view_of(state);
    const auto places = make_place_index(state.fleet.text, world);
    for (const auto& [id, s] : state.fleet.text.services) {
        add_answers(state, places, s, snapshot->services[id.value]);
    }
    add_targets(state, world, *snapshot);
    return snapshot;
}

} // namespace almondquay
