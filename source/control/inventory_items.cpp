#include "control/inventory_items.h"

#include "control/decisions.h"
#include "control/fleet_adoption.h"
#include "control/inventory_sync.h"
#include "control/store_era.h"

#include <algorithm>

namespace almondquay {

namespace {

constexpr std::size_t max_unreadable_names = 1'000;

/// Records an unreadable entry only once until it becomes readable again.
void report_unreadable_entry(control_state& state, const event& e, inventory_kind kind,
                             const inventory_item& item, const unreadable_entry& entry,
                             effects& out)
{
    auto& known = state.inventory.unreadable;
    const auto name = std::string(name_of(kind)) + "/" + item.name;
    if (known.size() >= max_unreadable_names || !known.insert(name).second) {
        return;
    }
    decide(state, out, e.wall,
           {"ignore_entry",
            "an entry that cannot be read counts as absent",
            "Entry " + name + " cannot be read and is ignored.",
            {},
            {{"why", entry.why}}});
}

/// Targets keep serving for a while after their entry was deleted, so running requests still
/// complete.
void remove_target(control_state& state, const event& e, const target_id& id,
                   const std::string& rule, effects& out)
{
    missing_of(state.inventory, inventory_kind::targets).erase(id.value);
    const auto found = state.inventory.targets.find(id);
    if (found == state.inventory.targets.end()) {
        return;
    }
    state.inventory.departed.insert_or_assign(
        id, departed_target{found->second.entry.definition.life, e.now});
    state.inventory.targets.erase(found);
    state.targets.erase(id);
    state.snapshot_is_stale = true;
    decide(
        state, out, e.wall,
        {"target_gone", rule, "Target " + id.value + " is removed.", {}, {{"target", id.value}}});
}

/// Whether the store was away from all hosts, long enough for entries to expire, within the last
/// `reregistration_time`.
bool may_have_expired(const inventory_list& list, monotonic_time now)
{
    return now - list.confirmed >= shortest_lapse || now - list.gap_ended < reregistration_time;
}

/// Entries expire during an outage of the store, so a target that is missing soon after the outage
/// has the rest of `reregistration_time` to register again. A deletion seen later takes effect at
/// once, and so does one that is seen by a host from which alone the store was away.
void handle_missing_target(control_state& state, const event& e, const target_id& id, effects& out)
{
    auto& inventory = state.inventory;
    const auto latest = inventory.reachable_since + reregistration_time;
    const bool was_away = inventory.last_failure != monotonic_time{} &&
                          may_have_expired(list_of(inventory, inventory_kind::targets), e.now);
    if (!was_away || (state.fleet.platform_reachable && e.now >= latest)) {
        remove_target(state, e, id, "its entry was deleted", out);
    } else if (inventory.targets.contains(id)) {
        missing_of(inventory, inventory_kind::targets)
            .try_emplace(id.value,
                         state.fleet.platform_reachable ? latest : e.now + reregistration_time);
    }
}

/// The cold time assumed for a target that does not report one.
std::chrono::milliseconds assumed_cold_time(const control_state& state, const target& t)
{
    const auto found = state.fleet.configuration.services.find(t.serves);
    return found == state.fleet.configuration.services.end() ? std::chrono::milliseconds{0}
                                                             : found->second.cold_time;
}

void forget_host(control_state& state, const host_id& id)
{
    if (id != state.self.host && state.inventory.hosts.erase(id) != 0) {
        state.snapshot_is_stale = true;
    }
}

void update_content(control_state& state, inventory_kind kind, const inventory_item& item)
{
    auto& content = list_of(state.inventory, kind).content;
    if (std::holds_alternative<deleted_entry>(item.entry) ||
        std::holds_alternative<unreadable_entry>(item.entry)) {
        erase_entry(content, item.name);
    } else if (kind != inventory_kind::configuration) {
        set_entry(content, item.name, item.revision);
    }
}

bool is_known(const inventory_state& inventory, inventory_kind kind, const std::string& name)
{
    switch (kind) {
    case inventory_kind::configuration:
        return false;
    case inventory_kind::targets:
        return inventory.targets.contains(target_id(name));
    case inventory_kind::evacuations:
        return inventory.evacuated.contains(failure_domain_id(name));
    case inventory_kind::hosts:
        return inventory.hosts.contains(host_id(name));
    }
    return false;
}

/// Handles an entry that was deleted or can no longer be read.
void handle_absent_entry(control_state& state, const event& e, inventory_kind kind,
                         const std::string& name, effects& out)
{
    switch (kind) {
    case inventory_kind::configuration:
        return; // The configuration in force stays in force.
    case inventory_kind::targets:
        handle_missing_target(state, e, target_id(name), out);
        return;
    case inventory_kind::evacuations:
        update_evacuation(state, e, failure_domain_id(name), false, out);
        return;
    case inventory_kind::hosts:
        forget_host(state, host_id(name));
        return;
    }
}

/// Handles an entry that is missing from a list that was read completely. After the return of the
/// store from an older copy it may only be missing there.
void handle_unlisted_entry(control_state& state, const event& e, inventory_kind kind,
                           const std::string& name, effects& out)
{
    const auto until = may_return_until(state, kind, e.now);
    if (until && is_known(state.inventory, kind, name)) {
        missing_of(state.inventory, kind).try_emplace(name, *until);
    } else {
        handle_absent_entry(state, e, kind, name, out);
    }
}

/// Whether the target was removed and the store's copy may list it all the same.
bool has_departed(const control_state& state, const target& t, monotonic_time now)
{
    const auto found = state.inventory.departed.find(t.id);
    return found != state.inventory.departed.end() && t.life <= found->second.life &&
           may_be_outdated(state, now);
}

/// A target does not take back that it leaves, and the store's copy may know it as warm that has
/// turned cold since.
registered_target newer_of(const listed_target& known, registered_target entry, monotonic_time now)
{
    const auto cold_left = known.cold_until - now;
    entry.definition.leaving = entry.definition.leaving || known.entry.definition.leaving;
    entry.cold_left =
        std::max(entry.cold_left, std::chrono::duration_cast<std::chrono::milliseconds>(cold_left));
    return entry;
}

} // namespace

void confirm_list(inventory_list& list, monotonic_time at)
{
    if (at - list.confirmed >= shortest_lapse) {
        list.gap_ended = at;
    }
    list.confirmed = std::max(list.confirmed, at);
}

void apply_target(control_state& state, const event& e, registered_target entry, effects& out)
{
    auto& inventory = state.inventory;
    const auto id = entry.definition.id;
    missing_of(inventory, inventory_kind::targets).erase(id.value);
    const auto found = inventory.targets.find(id);
    const bool is_new = found == inventory.targets.end();
    const bool is_restarted =
        !is_new && found->second.entry.definition.life != entry.definition.life;
    const bool is_older = !is_new && entry.definition.life < found->second.entry.definition.life;
    if (is_older) {
        return;
    }
    if (!is_new && !is_restarted && may_be_outdated(state, e.now)) {
        entry = newer_of(found->second, std::move(entry), e.now);
    }
    if (is_restarted) {
        state.targets.erase(id); // The recorded health is that of its previous incarnation.
    }
    auto& listed = inventory.targets[id];
    if (is_new && has_departed(state, entry.definition, e.now)) {
        listed.unused_until = inventory.era_began + reregistration_time;
    } else if (is_restarted) {
        listed.unused_until = {};
    }
    const bool turns_cold = entry.cold_left.count() != 0 && listed.cold_until <= e.now;
    const bool is_changed = is_new || !(listed.entry.definition == entry.definition) || turns_cold;
    const auto cold_until = e.now + entry.cold_left;
    state.snapshot_is_stale =
        state.snapshot_is_stale || is_changed || listed.cold_until != cold_until;
    listed.entry = entry;
    listed.cold_until = cold_until;
    if (!is_changed) {
        return;
    }
    decide(state, out, e.wall,
           {"target_listed",
            "targets are used as they register themselves in the store",
            "Target " + id.value + " of " + entry.definition.serves.value +
                (entry.definition.leaving ? " is leaving." : " is listed."),
            {},
            {{"target", id.value},
             {"life", std::to_string(entry.definition.life.value)},
             {"leaving", entry.definition.leaving ? "yes" : "no"},
             {"cold_ms", std::to_string(entry.cold_left.count())}}});
}

void update_evacuation(control_state& state, const event& e, const failure_domain_id& domain,
                       bool begins, effects& out)
{
    missing_of(state.inventory, inventory_kind::evacuations).erase(domain.value);
    auto& evacuated = state.inventory.evacuated;
    const bool changed = begins ? evacuated.insert(domain).second : evacuated.erase(domain) != 0;
    if (!changed) {
        return;
    }
    state.snapshot_is_stale = true;
    if (!begins) {
        for (auto& [id, listed] : state.inventory.targets) {
            if (listed.entry.definition.domain == domain) {
                const auto cold = e.now + assumed_cold_time(state, listed.entry.definition);
                listed.cold_until = std::max(listed.cold_until, cold);
            }
        }
    }
    decide(state, out, e.wall,
           {begins ? "evacuate" : "evacuation_over",
            "targets of an evacuated failure domain get no new requests",
            "Failure domain " + domain.value +
                (begins ? " is evacuated." : " is no longer evacuated."),
            {},
            {{"failure_domain", domain.value}}});
}

void apply_host(control_state& state, const host& h)
{
    missing_of(state.inventory, inventory_kind::hosts).erase(h.id.value);
    auto& known = state.inventory.hosts[h.id];
    if (!(known == h)) {
        known = h;
        state.snapshot_is_stale = true;
    }
}

void apply_item(control_state& state, const event& e, inventory_kind kind,
                const inventory_item& item, effects& out)
{
    update_content(state, kind, item);
    if (const auto* bad = std::get_if<unreadable_entry>(&item.entry)) {
        report_unreadable_entry(state, e, kind, item, *bad, out);
        handle_absent_entry(state, e, kind, item.name, out);
        return;
    }
    if (!state.inventory.unreadable.empty()) {
        state.inventory.unreadable.erase(std::string(name_of(kind)) + "/" + item.name);
    }
    if (const auto* envelope = std::get_if<fleet_envelope>(&item.entry)) {
        adopt(state, e, *envelope, "platform", out);
    } else if (const auto* t = std::get_if<registered_target>(&item.entry)) {
        apply_target(state, e, *t, out);
    } else if (const auto* evacuated = std::get_if<evacuation>(&item.entry)) {
        update_evacuation(state, e, evacuated->domain, true, out);
    } else if (const auto* h = std::get_if<host>(&item.entry)) {
        apply_host(state, *h);
    } else {
        handle_absent_entry(state, e, kind, item.name, out);
    }
}

void apply_removal(control_state& state, const event& e, inventory_kind kind,
                   const std::string& name, std::chrono::milliseconds grace_left, effects& out)
{
    if (grace_left.count() != 0) {
        if (is_known(state.inventory, kind, name)) {
            missing_of(state.inventory, kind).try_emplace(name, e.now + grace_left);
        }
    } else if (kind == inventory_kind::targets) {
        remove_target(state, e, target_id(name), "its entry was deleted", out);
    } else {
        handle_absent_entry(state, e, kind, name, out);
    }
}

std::size_t remove_unlisted(control_state& state, const event& e, inventory_kind kind,
                            const std::set<std::string>& seen, effects& out)
{
    std::vector<std::string> gone;
    const auto collect = [&](const auto& known, const auto& name_in) {
        for (const auto& entry : known) {
            if (!seen.contains(name_in(entry))) {
                gone.push_back(name_in(entry));
            }
        }
    };
    if (kind == inventory_kind::targets) {
        collect(state.inventory.targets, [](const auto& entry) { return entry.first.value; });
    } else if (kind == inventory_kind::evacuations) {
        collect(state.inventory.evacuated, [](const auto& entry) { return entry.value; });
    } else if (kind == inventory_kind::hosts) {
        collect(state.inventory.hosts, [](const auto& entry) { return entry.first.value; });
    }
    for (const auto& name : gone) {
        handle_unlisted_entry(state, e, kind, name, out);
    }
    return gone.size();
}

namespace {

std::vector<std::string> take_expired(std::map<std::string, monotonic_time>& missing,
                                      monotonic_time now)
{
    std::vector<std::string> expired;
    std::erase_if(missing, [&](const auto& entry) {
        const bool is_expired = now >= entry.second;
        if (is_expired) {
            expired.push_back(entry.first);
        }
        return is_expired;
    });
    return expired;
}

} // namespace

void remove_expired_entries(control_state& state, const event& e, effects& out)
{
    auto& inventory = state.inventory;
    for (const auto& name : take_expired(missing_of(inventory, inventory_kind::targets), e.now)) {
        remove_target(state, e, target_id(name), "it did not register again after an outage", out);
    }
    for (const auto kind : {inventory_kind::evacuations, inventory_kind::hosts}) {
        for (const auto& name : take_expired(missing_of(inventory, kind), e.now)) {
            handle_absent_entry(state, e, kind, name, out);
        }
    }
    std::erase_if(inventory.departed,
                  [&](const auto& entry) { return e.now - entry.second.at >= departed_retention; });
    // Targets that were unused until then are used from the next snapshot.
    const auto end = inventory.era_began + reregistration_time;
    const bool has_ended = e.now >= end && e.now - end <= tick_interval;
    state.snapshot_is_stale =
        state.snapshot_is_stale || (inventory.era_began != monotonic_time{} && has_ended);
}

} // namespace almondquay
