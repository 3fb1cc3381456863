#include "control/inventory_sync.h"

#include "control/decisions.h"
#include "control/fleet_adoption.h"
#include "control/inventory_changes.h"
#include "control/inventory_items.h"
#include "control/membership.h"
#include "control/peer_inventory.h"
#include "control/store_era.h"
#include "control/store_followers.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace almondquay {

namespace {

constexpr std::chrono::milliseconds shortest_backoff{150};
constexpr std::chrono::milliseconds longest_backoff{1'500};
constexpr unsigned max_doublings = 4;
/// Hosts silent for this long are deleted from the store by the first follower of a region.
constexpr std::chrono::minutes dead_host_retention{2};
/// The revision of a list that never had an entry; 0 would mean that the list is not known.
const store_revision empty_list_revision{1};
/// Targets and hosts often change in large groups. A delay before the next query batches their
/// changes in one answer; it is short compared to the seconds that a leaving target keeps serving.
constexpr std::chrono::milliseconds target_batching_delay{800};
/// Gossip shows earlier which of the listed hosts are alive, so this delays only new hosts.
constexpr std::chrono::milliseconds host_batching_delay{2'000};

std::chrono::milliseconds backoff(control_state& state, unsigned failures)
{
    const auto doubled = shortest_backoff * (1U << std::min(failures, max_doublings));
    const auto longest = std::min(doubled, longest_backoff).count();
    std::uniform_int_distribution<std::int64_t> jitter(longest / 2, longest);
    return std::chrono::milliseconds(jitter(state.random));
}

std::chrono::milliseconds longest_wait(inventory_kind kind)
{
    switch (kind) {
    case inventory_kind::configuration:
    case inventory_kind::targets:
        return longest_urgent_wait;
    case inventory_kind::evacuations:
        return longest_evacuation_wait;
    case inventory_kind::hosts:
        break; // Gossip reports changes of hosts earlier than their list.
    }
    return longest_follow_wait;
}

std::chrono::milliseconds follow_wait(control_state& state, inventory_kind kind)
{
    if (list_of(state.inventory, kind).failures != 0) {
        return std::chrono::milliseconds{
            0}; // Detects as early as possible that the store answers again.
    }
    if (state.inventory.own_rank >= followers_per_region) {
        return std::chrono::milliseconds{
            0}; // A standby that takes over needs a confirmation immediately.
    }
    if (kind == inventory_kind::hosts) {
        return longest_follow_wait;
    }
    const auto [position, followers] = position_among_followers(state);
    const auto whole = std::clamp(follow_interval * static_cast<int>(followers),
                                  shortest_follow_wait, longest_wait(kind));
    // A change completes the long polls of all followers at the same time, so the first wait after
    // it differs between them and the later answers without changes are spread over time.
    return list_of(state.inventory, kind).had_changes
               ? whole * static_cast<int>(position + 1) / static_cast<int>(followers)
               : whole;
}

void query_list(control_state& state, inventory_kind kind, effects& out)
{
    auto& list = list_of(state.inventory, kind);
    list.call_running = true;
    list.behind_since = {};
    inventory_query query;
    query.kind = kind;
    query.follow = list.is_following;
    query.after = list.page_after;
    query.since = list.at;
    query.wait = list.is_following ? follow_wait(state, kind) : std::chrono::milliseconds{0};
    query.number = ++list.call;
    if (list.page_after.empty()) {
        list.queried_at = state.now;
    }
    out.emplace_back(query_inventory_effect{std::move(query)});
}

void update_store_reachability(control_state& state, const event& e, bool answers,
                               const std::string& why, effects& out)
{
    auto& f = state.fleet;
    const bool changed = answers != f.platform_reachable;
    f.platform_reachable = answers;
    if (answers) {
        f.last_answer = e.now;
    }
    if (changed && answers) {
        state.inventory.reachable_since = e.now;
    }
    if (!answers) {
        state.inventory.last_failure = e.now;
    }
    if (!changed) {
        return;
    }
    const auto before =
        std::exchange(state.inventory.unreachable_since, answers ? monotonic_time{} : e.now);
    const auto outage_duration =
        before == monotonic_time{} ? monotonic_time::duration{} : e.now - before;
    const auto away_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(outage_duration).count();
    decide(state, out, e.wall,
           {answers ? "store_answers" : "store_away",
            "the known state stays in force while the store does not answer",
            answers ? "The store answers." : "The store does not answer.",
            {},
            {{"away_ms", std::to_string(away_ms)}, {"why", why}}});
}

void handle_failure(control_state& state, const event& e, inventory_list& list,
                    const error& problem, effects& out)
{
    if (problem.code == result_code::platform_history_lost) {
        list.is_following = false;
        list.page_after.clear();
        list.seen.clear();
        list.next_call = e.now;
        return;
    }
    ++list.failures;
    list.next_call = e.now + backoff(state, list.failures);
    update_store_reachability(state, e, false, problem.detail, out);
}

/// The revision of the latest change on a page. The store's own revision grows with changes of all
/// lists, so peers that have read the same changes would mistake it for that of a newer list.
store_revision latest_change(const inventory_page& page)
{
    store_revision latest;
    for (const auto& item : page.items) {
        const bool has_revision =
            item.revision.value != 0 && !std::holds_alternative<deleted_entry>(item.entry);
        latest = std::max(latest, has_revision ? item.revision : page.at);
    }
    return latest;
}

std::chrono::milliseconds pause_after(inventory_kind kind)
{
    switch (kind) {
    case inventory_kind::targets:
        return target_batching_delay;
    case inventory_kind::hosts:
        return host_batching_delay;
    case inventory_kind::configuration:
    case inventory_kind::evacuations:
        break;
    }
    return std::chrono::milliseconds{0};
}

/// The name after which the next page begins. Entries that cannot be read may have no name; empty
/// if that holds for all of them.
std::string last_name(const inventory_page& page)
{
    const auto named = [](const inventory_item& item) { return !item.name.empty(); };
    const auto last = std::find_if(page.items.rbegin(), page.items.rend(), named);
    return last == page.items.rend() ? std::string() : last->name;
}

void report_list_read(control_state& state, const event& e, inventory_kind kind,
                      store_revision before, std::size_t entries, std::size_t dropped, effects& out)
{
    const std::string list(name_of(kind));
    decide(state, out, e.wall,
           {"list_read",
            "the store's list replaces this host's copy",
            "The list of " + list + " was read from the store.",
            {},
            {{"list", list},
             {"revision", std::to_string(list_of(state.inventory, kind).changed.value)},
             {"revision_before", std::to_string(before.value)},
             {"entries", std::to_string(entries)},
             {"dropped", std::to_string(dropped)}}});
}

/// Applies a page of a list that is being read completely. The list's revision changes only with
/// its last page: until then neither this host nor a peer may rely on the list.
void apply_list_page(control_state& state, const event& e, const inventory_query& query,
                     const inventory_page& page, effects& out)
{
    auto& list = list_of(state.inventory, query.kind);
    list.next_call = e.now;
    if (query.after.empty()) {
        list.read_at = page.at; // Changes made while the pages are read are read again.
        list.read_changed = {};
        list.seen.clear();
    }
    list.read_changed = std::max(list.read_changed, latest_change(page));
    for (const auto& item : page.items) {
        list.seen.insert(item.name);
    }
    if (page.has_more && !page.items.empty()) {
        list.page_after = last_name(page);
        if (list.page_after.empty()) {
            const error problem{result_code::platform_bad_answer,
                                "a page of entries without names"};
            handle_failure(state, e, list, problem, out);
        }
        return;
    }
    const auto entries = list.seen.size();
    const auto dropped = remove_unlisted(state, e, query.kind, list.seen, out);
    const auto before = list.changed;
    retain_entries(list.content, list.seen);
    list.seen.clear();
    list.page_after.clear();
    state.snapshot_is_stale = state.snapshot_is_stale || !list.is_complete;
    list.is_complete = true;
    list.needs_whole_copy = false;
    list.is_following = true;
    list.had_changes = true;
    list.at = list.read_at;
    confirm_list(list, list.queried_at);
    // Deletions leave no revision in a complete list, so that only the revision at which it was
    // read is known to include them. Changes made after its first page was read are not known yet.
    const bool is_configuration = query.kind == inventory_kind::configuration;
    const auto changed = is_configuration ? std::min(list.read_changed, list.at) : list.at;
    if (changed > list.changed) {
        list.changed = changed;
        if (!is_configuration) { // Its changes are recorded by part.
            record_list_replacement(state.inventory, query.kind, list.changed);
        }
    }
    list.changed = std::max(list.changed, empty_list_revision);
    report_list_read(state, e, query.kind, before, entries, dropped, out);
    announce(state, out); // Peers may have missed the same changes without noticing.
    state.inventory.repeats_announcement = true;
}

void apply_changes(control_state& state, const event& e, const inventory_query& query,
                   const inventory_page& page, effects& out)
{
    auto& list = list_of(state.inventory, query.kind);
    const bool has_changes = !page.items.empty();
    const auto before = list.changed;
    list.changed = std::max(list.changed, latest_change(page));
    list.at = page.at;
    confirm_list(list, e.now);
    list.had_changes = has_changes;
    list.next_call = has_changes ? e.now + pause_after(query.kind) : e.now;
    for (const auto& item : page.items) {
        if (query.kind != inventory_kind::configuration) { // Its changes are recorded by part.
            record_change(state.inventory, query.kind, list.changed, item.name);
        }
    }
    if (has_changes) {
        state.inventory.encoded_changes = encode_changes(state, query.kind, before);
        announce(state, out);
        state.inventory.repeats_announcement = true;
    } else if (query.kind == inventory_kind::configuration ||
               query.kind == inventory_kind::targets) {
        send_state(state, standby_followers(state, e.now), out);
    }
}

/// Whether the page continues what this host has read: pages of a list and the changes after a
/// revision are of one era.
bool continues_list(const inventory_list& list, const inventory_query& query,
                    const inventory_page& page)
{
    if (query.follow) {
        return page.at.era == query.since.era;
    }
    return query.after.empty() || page.at.era == list.read_at.era;
}

void apply_page(control_state& state, const event& e, const inventory_query& query,
                const inventory_page& page, effects& out)
{
    auto& list = list_of(state.inventory, query.kind);
    if (!continues_list(list, query, page)) {
        restart_reading(list, e.now);
        return;
    }
    for (const auto& item : page.items) {
        apply_item(state, e, query.kind, item, out);
    }
    if (query.follow) {
        apply_changes(state, e, query, page, out);
    } else {
        apply_list_page(state, e, query, page, out);
    }
}

void register_if_due(control_state& state, const event& e, effects& out)
{
    auto& inventory = state.inventory;
    const bool is_due = !inventory.is_registered && !inventory.registration_running &&
                        e.now >= inventory.next_registration;
    if (is_due) {
        inventory.registration_running = true;
        out.emplace_back(register_host_effect{state.self.registration});
    }
}

/// Hosts are replaced daily, so the entries of dead ones must not accumulate in the store.
void remove_dead_host(control_state& state, const event& e, effects& out)
{
    if (state.inventory.own_rank != 0 || !state.fleet.platform_reachable) {
        return;
    }
    for (const auto& [id, m] : state.membership.members) {
        if (!m.alive && e.now - m.last_advance > dead_host_retention &&
            state.inventory.hosts.contains(id)) {
            out.emplace_back(remove_host_effect{id});
            apply_item(state, e, inventory_kind::hosts, {id.value, deleted_entry{}}, out);
            return;
        }
    }
}

std::uint64_t rank_for(const target_id& t, const host_id& h)
{
    return XXH3_64bits_withSeed(h.value.data(), h.value.size(),
                                XXH3_64bits(t.value.data(), t.value.size()));
}

} // namespace

void tick_inventory(control_state& state, const event& e, effects& out)
{
    if (!state.self.has_inventory) {
        return;
    }
    state.inventory.own_rank = rank_in_region(state, e.now);
    if (std::exchange(state.inventory.repeats_announcement, false)) {
        announce(state, out);
        state.inventory.encoded_changes.clear();
    }
    for (std::size_t i = 0; i < inventory_kinds; ++i) {
        const auto& list = state.inventory.lists.at(i);
        const bool is_late = list.is_following && list.behind_since != monotonic_time{} &&
                             e.now - list.behind_since >= max_lag_behind_peer;
        const auto kind = static_cast<inventory_kind>(i);
        const bool is_due = (!list.call_running || is_late) && e.now >= list.next_call;
        if (is_due && may_query_store(state, kind, e.now)) {
            query_list(state, kind, out);
        }
    }
    register_if_due(state, e, out);
    remove_expired_entries(state, e, out);
    remove_dead_host(state, e, out);
    query_peers_while_starting(state, e, out);
}

void handle_inventory_page(control_state& state, const event& e, const inventory_read_event& read,
                           effects& out)
{
    auto& list = list_of(state.inventory, read.query.kind);
    if (read.query.number != list.call || !list.call_running) {
        return; // Superseded by a peer's copy or by a later query.
    }
    list.call_running = false;
    note_answer_era(state, e, read.era, succeeded(read.page), out);
    if (!succeeded(read.page)) {
        handle_failure(state, e, list, error_of(read.page), out);
    } else if (stated_or_known(state, read.era.era) < state.inventory.era) {
        const error problem{result_code::platform_bad_answer, "an answer of an earlier era"};
        handle_failure(state, e, list, problem, out);
    } else {
        list.failures = 0;
        update_store_reachability(state, e, true, "", out);
        apply_page(state, e, read.query, in_known_era(state, value_of(read.page)), out);
    }
    state.fleet.platform_answered = true;
    const bool is_due = !list.call_running && e.now >= list.next_call;
    if (is_due && may_query_store(state, read.query.kind, e.now)) {
        query_list(state, read.query.kind, out);
    }
    start_serving_if_ready(state, e, out);
}

void handle_host_registered(control_state& state, const event& e,
                            const host_registered_event& registered, effects& out)
{
    auto& inventory = state.inventory;
    note_answer_era(state, e, registered.era, succeeded(registered.outcome), out);
    inventory.registration_running = false;
    const bool is_current = stated_or_known(state, registered.era.era) >= inventory.era;
    inventory.is_registered = succeeded(registered.outcome) && is_current;
    if (!is_current) {
        inventory.next_registration = e.now;
    } else if (!inventory.is_registered) {
        inventory.next_registration = e.now + backoff(state, max_doublings);
        update_store_reachability(state, e, false, error_of(registered.outcome).detail, out);
    }
}

void apply_inventory_to_fleet(control_state& state)
{
    if (!state.self.has_inventory) {
        return;
    }
    auto& configuration = state.fleet.configuration;
    configuration.settings.lookup_ttl = state.self.budgets.lookup_ttl;
    for (const auto& [domain, in_region] : state.self.domains) {
        configuration.regions[in_region] = {in_region};
        configuration.domains[domain] = {domain, in_region};
    }
    configuration.hosts = state.inventory.hosts;
    configuration.hosts[state.self.host] = state.self.registration;
    configuration.targets.clear();
    for (const auto& [id, listed] : state.inventory.targets) {
        if (configuration.services.contains(listed.entry.definition.serves)) {
            configuration.targets.emplace(id, listed.entry.definition);
        }
    }
}

bool knows_enough_to_serve(const control_state& state)
{
    if (!state.fleet.envelope) {
        return false;
    }
    if (!state.self.has_inventory) {
        return state.fleet.platform_answered;
    }
    return std::ranges::all_of(lists_needed_to_serve, [&](const inventory_kind kind) {
        return list_of(state.inventory, kind).is_complete;
    });
}

double cold_share(const control_state& state, const target& t)
{
    const auto found = state.fleet.configuration.services.find(t.serves);
    if (found == state.fleet.configuration.services.end()) {
        return 0;
    }
    const auto own = rank_for(t.id, state.self.host);
    const auto ahead =
        std::ranges::count_if(state.fleet.configuration.hosts,
                              [&](const auto& entry) { return rank_for(t.id, entry.first) > own; });
    const bool may_use = static_cast<std::size_t>(ahead) < hosts_for_cold_target;
    return may_use ? found->second.cold_requests_per_second / hosts_for_cold_target : 0;
}

} // namespace almondquay
