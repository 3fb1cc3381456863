#include "control/snapshot_builder.h"

#include "control/inventory_sync.h"
#include "control/membership.h"
#include "control/target_health.h"
#include "steering/lookup_plan.h"
#include "steering/slot_share.h"

#include <algorithm>

namespace almondquay {

namespace {

availability_view view_of(const control_state& state)
{
    availability_view view;
    view.live_hosts = live_hosts(state);
    view.dead_targets = dead_targets(state);
    if (state.fleet.envelope) {
        view.drains = state.fleet.envelope->drains;
    }
    return view;
}

/// The position of this host among all configured hosts of its failure domain, dead or alive.
struct host_position {
    std::size_t position = 0;
    std::size_t hosts = 0;
};

host_position position_of(const control_state& state)
{
    const auto all = hosts_of(state.fleet.configuration, state.self.domain);
    const auto found = std::ranges::find(all, state.self.host, &host::id);
    return {static_cast<std::size_t>(found - all.begin()), all.size()};
}

target_route make_route(const control_state& state, const availability_view& view,
                        const host_position& own_position, std::size_t first, const target& t)
{
    target_route route;
    route.id = t.id;
    route.address = t.address;
    route.slots = share_of(t.slots.value, first, own_position.position, own_position.hosts);
    route.connections = share_of(t.connections, first, own_position.position, own_position.hosts);
    route.sheds_unrun = t.sheds_unrun;
    route.usable =
        !view.dead_targets.contains(t.id) && !is_drained(state.fleet.configuration, view.drains, t);
    return route;
}

/// Every host may use every registered target; their load is balanced per request.
void add_shared_targets(const control_state& state, const availability_view& view,
                        routing_snapshot& snapshot)
{
    const auto& configuration = state.fleet.configuration;
    for (const auto& [id, t] : configuration.targets) {
        target_route route;
        route.id = id;
        route.address = t.address;
        route.slots = t.slots.value;
        route.connections = t.connections;
        route.sheds_unrun = t.sheds_unrun;
        route.checks_identity = t.checks_identity;
        route.life = t.life;
        route.domain = t.domain;
        route.in_region = region_of(configuration, t.domain);
        const auto& listed = state.inventory.targets.at(id);
        route.cold_until = listed.cold_until;
        if (route.cold_until > state.now) {
            route.cold_per_second = cold_share(state, t);
        }
        route.usable = !t.leaving && listed.unused_until <= state.now &&
                       !view.dead_targets.contains(id) &&
                       !state.inventory.evacuated.contains(t.domain);
        auto& of_service = snapshot.services[t.serves.value];
        of_service.are_targets_shared = true;
        of_service.targets.push_back(std::move(route));
    }
}

/// Callers of a region are given its live hosts, or all live hosts if the region has none.
void add_entry_hosts(const control_state& state, const availability_view& view,
                     routing_snapshot& snapshot)
{
    const auto& configuration = state.fleet.configuration;
    std::vector<endpoint> all;
    for (const auto& [id, h] : configuration.hosts) {
        if (view.live_hosts.contains(id)) {
            snapshot.entry_hosts[region_of(configuration, h.domain)].push_back(h.callers);
            all.push_back(h.callers);
        }
    }
    for (const auto& [id, r] : configuration.regions) {
        auto& answer = snapshot.entry_hosts[id];
        if (answer.empty()) {
            answer = all;
        }
    }
}

/// Adds the targets of this host's failure domain to their services. Slots that remain after even
/// division are assigned round-robin across the targets of a service, so that the hosts' totals
/// stay balanced.
void add_targets(const control_state& state, const availability_view& view,
                 routing_snapshot& snapshot)
{
    const auto own_position = position_of(state);
    std::map<service_id, std::size_t> first;
    for (const auto& [id, t] : state.fleet.configuration.targets) {
        if (t.domain == state.self.domain) {
            snapshot.services[t.serves.value].targets.push_back(
                make_route(state, view, own_position, first[t.serves], t));
            first[t.serves] += t.slots.value;
        }
    }
}

/// Shares of grants, like those of slots, depend on the configuration alone: whichever hosts are
/// dead or partitioned, all hosts together never exceed the grant.
void add_spill(const control_state& state, const capacity_index& capacity, const grant& g,
               routing_snapshot& snapshot)
{
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_megabit = 1e6;
    const auto own_position = position_of(state);
    const auto receivers = hosts_of(state.fleet.configuration, g.to);
    const auto live = capacity.hosts.find(g.to);
    const target_id name("spill/" + g.to.value + "/" + g.of_service.value);
    const auto own =
        share_of(g.in_flight, hashed_position(name), own_position.position, own_position.hosts);
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        target_route route;
        route.id.value = name.value + "/" + receivers[i]->id.value;
        route.address = receivers[i]->callers;
        route.slots = share_of(own, hashed_position(name), i, receivers.size());
        route.is_spill = true;
        const auto paths = static_cast<double>(own_position.hosts * receivers.size());
        const auto rate = g.rate.value * bits_per_megabit / bits_per_byte / paths;
        route.bytes_per_second = route.slots == 0 ? 0 : rate / route.slots;
        const bool is_live = live != capacity.hosts.end() &&
                             std::ranges::find(live->second, receivers[i]) != live->second.end();
        route.usable = is_live && route.bytes_per_second > 0 &&
                       usable_slots(state.fleet.configuration, capacity, g.to, g.of_service) > 0;
        snapshot.services[g.of_service.value].targets.push_back(std::move(route));
    }
}

void add_answers(const control_state& state, const capacity_index& capacity, const service& s,
                 service_routes& routes)
{
    const auto& configuration = state.fleet.configuration;
    routes.definition = s;
    for (const auto& [id, r] : configuration.regions) {
        const auto choices = choose_hosts(configuration, capacity, s.id, id);
        routes.lookup_answers[id] =
            lookup_answer(configuration, s.id, state.fleet.envelope->number, choices);
    }
}

} // namespace

snapshot_ptr build_snapshot(const control_state& state)
{
    boost::intrusive_ptr<routing_snapshot> snapshot(new routing_snapshot);
    // A host may be stopped before it has served.
    snapshot->ready = state.stage != life_stage::starting && knows_enough_to_serve(state);
    snapshot->leaving = state.stage == life_stage::leaving || state.stage == life_stage::ending;
    snapshot->stop_deadline = state.stop_deadline;
    snapshot->home = region_of(state.fleet.configuration, state.self.domain);
    snapshot->blocks = state.fleet.blocks ? state.fleet.blocks : make_block_table({});
    for (const auto& [fingerprint, q] : state.quarantined) {
        snapshot->quarantined.insert(fingerprint);
    }
    if (!state.fleet.envelope) {
        return snapshot;
    }
    snapshot->in_force = state.fleet.envelope->number;
    const auto view = view_of(state);
    const auto capacity = make_capacity_index(state.fleet.configuration, view);
    for (const auto& [id, s] : state.fleet.configuration.services) {
        if (state.self.has_inventory) {
            snapshot->services[id.value].definition = s;
        } else {
            add_answers(state, capacity, s, snapshot->services[id.value]);
        }
    }
    snapshot->routes = state.fleet.routes;
    snapshot->limits = state.fleet.configuration.limits;
    snapshot->hosts = std::max<std::size_t>(1, state.fleet.configuration.hosts.size());
    for (const auto& [id, d] : state.fleet.configuration.domains) {
        snapshot->regions.emplace(id, d.in_region);
    }
    if (state.self.has_inventory) {
        add_shared_targets(state, view, *snapshot);
        add_entry_hosts(state, view, *snapshot);
        return snapshot;
    }
    add_targets(state, view, *snapshot);
    for (const auto& g : state.fleet.configuration.grants) {
        if (g.from == state.self.domain) {
            add_spill(state, capacity, g, *snapshot);
        }
    }
    return snapshot;
}

} // namespace almondquay
