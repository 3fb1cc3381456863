#include "control/peer_inventory.h"

#include "control/decisions.h"
#include "control/fleet_adoption.h"
#include "control/inventory_changes.h"
#include "control/inventory_items.h"
#include "control/store_era.h"
#include "control/store_followers.h"

#include <algorithm>
#include <limits>

namespace almondquay {

namespace {

using std::chrono::milliseconds;

/// Interval between queries to peers while a host starts.
constexpr milliseconds startup_query_interval{400};
constexpr std::array lists_from_peers{inventory_kind::targets, inventory_kind::evacuations,
                                      inventory_kind::hosts};
/// The wall clock and the steady clock drift apart by less than this between two ticks.
constexpr milliseconds tolerated_drift{500};
/// Higher than any revision, so that the peer sends nothing of that list.
const store_revision max_revision{std::numeric_limits<std::uint64_t>::max(),
                                  store_era(std::numeric_limits<std::uint64_t>::max())};

milliseconds time_left(monotonic_time until, monotonic_time now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(until - now), milliseconds{0});
}

void add_target(const listed_target& listed, monotonic_time now, inventory_copy& copy)
{
    auto entry = listed.entry;
    entry.cold_left = time_left(listed.cold_until, now);
    copy.targets.push_back(std::move(entry));
}

/// An entry that is in force although it is not listed any more is removed after a while.
void add_removal_if_missing(const control_state& state, inventory_kind kind,
                            const std::string& name, monotonic_time now, inventory_copy& copy)
{
    const auto& missing = missing_of(state.inventory, kind);
    if (const auto found = missing.find(name); found != missing.end()) {
        const auto left = std::max(time_left(found->second, now), milliseconds{1});
        copy.removed.push_back({kind, name, left});
    }
}

void add_revision(const control_state& state, inventory_kind kind, const std::string& name,
                  inventory_copy& copy)
{
    copy.revisions.at(static_cast<std::size_t>(kind))
        .emplace(name, revision_of(list_of(state.inventory, kind).content, name));
}

/// Adds the current state of one entry.
void add_entry(const control_state& state, inventory_kind kind, const std::string& name,
               monotonic_time now, inventory_copy& copy)
{
    const auto& inventory = state.inventory;
    add_removal_if_missing(state, kind, name, now, copy);
    if (kind == inventory_kind::targets) {
        if (const auto t = inventory.targets.find(target_id(name)); t != inventory.targets.end()) {
            add_target(t->second, now, copy);
            add_revision(state, kind, name, copy);
            return;
        }
    } else if (kind == inventory_kind::hosts) {
        const auto h = inventory.hosts.find(host_id(name));
        // A host also knows itself if it is not listed.
        const bool is_listed = list_of(inventory, kind).content.entries.contains(name) ||
                               missing_of(inventory, kind).contains(name);
        if (h != inventory.hosts.end() && is_listed) {
            copy.hosts.push_back(h->second);
            add_revision(state, kind, name, copy);
            return;
        }
    } else if (inventory.evacuated.contains(failure_domain_id(name))) {
        copy.evacuated.emplace_back(name);
        add_revision(state, kind, name, copy);
        return;
    }
    copy.removed.push_back({kind, name, milliseconds{0}});
}

std::set<std::string> all_names(const inventory_state& inventory, inventory_kind kind)
{
    std::set<std::string> names;
    if (kind == inventory_kind::targets) {
        for (const auto& [id, listed] : inventory.targets) {
            names.insert(id.value);
        }
    } else if (kind == inventory_kind::hosts) {
        for (const auto& [id, h] : inventory.hosts) {
            names.insert(id.value);
        }
    } else {
        for (const auto& domain : inventory.evacuated) {
            names.insert(domain.value);
        }
    }
    return names;
}

bool are_same(list_digest a, list_digest b)
{
    return a.value != 0 && a == b;
}

bool differ(list_digest a, list_digest b)
{
    return a.value != 0 && b.value != 0 && a != b;
}

/// Whether a copy of a list is newer than the local one and has no gap of changes before it.
bool is_applicable(const inventory_list& list, const inventory_copy& copy, std::size_t i)
{
    const bool is_whole = copy.since.at(i).value == 0;
    const bool is_newer = copy.at.at(i).value > 0 && (copy.at.at(i) > list.at || !list.is_complete);
    const bool has_no_gap =
        list.is_complete && copy.since.at(i) <= list.at && copy.at.at(i).era == list.at.era;
    return is_newer && (is_whole || has_no_gap);
}

void apply_entries(control_state& state, const event& e, inventory_kind kind,
                   const inventory_copy& copy, effects& out)
{
    if (kind == inventory_kind::targets) {
        for (const auto& t : copy.targets) {
            apply_target(state, e, t, out);
        }
    } else if (kind == inventory_kind::hosts) {
        for (const auto& h : copy.hosts) {
            apply_host(state, h);
        }
    } else {
        for (const auto& domain : copy.evacuated) {
            update_evacuation(state, e, domain, true, out);
        }
    }
    for (const auto& entry : copy.removed) {
        if (entry.kind == kind) {
            apply_removal(state, e, kind, entry.name, entry.grace_left, out);
        }
    }
}

std::set<std::string> entry_names(const inventory_copy& copy, inventory_kind kind)
{
    std::set<std::string> names;
    if (kind == inventory_kind::targets) {
        for (const auto& t : copy.targets) {
            names.insert(t.definition.id.value);
        }
    } else if (kind == inventory_kind::hosts) {
        for (const auto& h : copy.hosts) {
            names.insert(h.id.value);
        }
    } else {
        for (const auto& domain : copy.evacuated) {
            names.insert(domain.value);
        }
    }
    return names;
}

/// Applies what a copy tells about the content of a list.
void apply_content(inventory_list& list, inventory_kind kind, const inventory_copy& copy,
                   const std::set<std::string>& names)
{
    const auto i = static_cast<std::size_t>(kind);
    const bool is_whole = copy.since.at(i).value == 0;
    if (is_whole) {
        list.content = {};
    }
    for (const auto& name : names) {
        const auto& revisions = copy.revisions.at(i);
        const auto found = revisions.find(name);
        set_entry(list.content, name, found == revisions.end() ? store_revision{} : found->second);
    }
    for (const auto& entry : copy.removed) {
        if (entry.kind == kind) {
            erase_entry(list.content, entry.name);
        }
    }
}

void report_copy_mismatch(control_state& state, const event& e, inventory_kind kind,
                          const std::string& peer, effects& out)
{
    const std::string list(name_of(kind));
    decide(state, out, e.wall,
           {"copy_mismatch",
            "a list that differs from the peer's after its changes is copied as a whole",
            "Changes of the list of " + list + " from another host are not complete.",
            {},
            {{"list", list},
             {"revision", std::to_string(list_of(state.inventory, kind).changed.value)},
             {"peer", peer}}});
}

void report_list_copied(control_state& state, const event& e, inventory_kind kind,
                        store_revision before, std::size_t entries, const std::string& peer,
                        effects& out)
{
    const std::string list(name_of(kind));
    decide(state, out, e.wall,
           {"list_copied",
            "a newer list of another host replaces this host's copy",
            "The list of " + list + " was copied from another host.",
            {},
            {{"list", list},
             {"revision", std::to_string(list_of(state.inventory, kind).changed.value)},
             {"revision_before", std::to_string(before.value)},
             {"entries", std::to_string(entries)},
             {"peer", peer}}});
}

void apply_list(control_state& state, const event& e, inventory_kind kind,
                const inventory_copy& copy, const std::string& peer, effects& out)
{
    const auto i = static_cast<std::size_t>(kind);
    const bool is_whole = copy.since.at(i).value == 0;
    apply_entries(state, e, kind, copy, out);
    auto names = entry_names(copy, kind);
    if (is_whole) {
        for (const auto& name : all_names(state.inventory, kind)) {
            if (!names.contains(name)) {
                apply_removal(state, e, kind, name, milliseconds{0}, out);
            }
        }
    }
    auto& list = state.inventory.lists.at(i);
    const auto before = list.changed;
    apply_content(list, kind, copy, names);
    // The peer does not know all changes if some were made between two of its complete reads, such
    // as the creation and the deletion of the same entry.
    list.needs_whole_copy = !is_whole && differ(digest_of(list.content), copy.digests.at(i));
    if (list.needs_whole_copy) {
        report_copy_mismatch(state, e, kind, peer, out);
        return;
    }
    list.at = copy.at.at(i);
    list.changed = list.at;
    state.snapshot_is_stale = state.snapshot_is_stale || !list.is_complete;
    list.is_complete = true;
    list.behind_since = {};
    if (is_whole) {
        list.is_following = false; // The list is read from the store again once possible.
        list.page_after.clear();
        list.seen.clear();
        record_list_replacement(state.inventory, kind, list.at);
        report_list_copied(state, e, kind, before, names.size(), peer, out);
    } else {
        for (const auto& entry : copy.removed) {
            if (entry.kind == kind) {
                names.insert(entry.name);
            }
        }
        for (const auto& name : names) {
            record_change(state.inventory, kind, list.at, name);
        }
    }
    list.call_running = false;
    list.next_call = e.now + (list.failures == 0 ? milliseconds{0} : copy_request_interval);
}

/// Revisions of two eras name different changes, so that digests of two eras cannot be compared.
bool has_same_content(const inventory_list& list, store_revision theirs, list_digest digest)
{
    return theirs.era == list.at.era && are_same(digest_of(list.content), digest);
}

bool is_behind(const inventory_list& list, store_revision theirs, list_digest digest)
{
    if (theirs.value == 0 || !list.is_complete) {
        return theirs.value != 0;
    }
    return theirs > list.at && !has_same_content(list, theirs, digest);
}

/// A list with the same content as the peer's is also current at the peer's revision.
void adopt_revision(inventory_list& list, store_revision theirs, list_digest digest)
{
    if (list.is_complete && theirs > list.changed && has_same_content(list, theirs, digest)) {
        list.changed = theirs;
        list.at = std::max(list.at, theirs);
    }
}

/// Whether the peer's confirmation also applies to the local list, which must not be behind.
bool shares_confirmation(const inventory_list& list, store_revision theirs, list_digest digest)
{
    return theirs.value != 0 && theirs.era == list.at.era &&
           (theirs < list.changed || !differ(digest_of(list.content), digest));
}

/// The generation in force for requests of copies.
store_revision generation_for_request(const control_state& state)
{
    return state.fleet.needs_whole_copy ? store_revision{}
                                        : store_revision{generation_in_force(state).value};
}

/// Requests what this host lacks, unless enough requests are running: a slow peer would otherwise
/// be asked to send the same copy several times. A serving host that reads the lists from the store
/// requests only the configuration, since a peer's copy of a list would supersede its own query.
void request_copy(control_state& state, const event& e, const endpoint& peer, bool with_lists,
                  effects& out)
{
    auto& inventory = state.inventory;
    std::erase_if(inventory.copies_requested,
                  [&](const auto& entry) { return e.now - entry.second >= copy_request_timeout; });
    // A host without a configuration serves nobody, so it asks each peer that it hears of.
    const bool is_too_early = state.fleet.envelope && e.now < inventory.next_peer_query;
    if (is_too_early || inventory.copies_requested.contains(peer) ||
        inventory.copies_requested.size() >= max_running_copies) {
        return;
    }
    inventory.next_peer_query = e.now + copy_request_interval;
    inventory.copies_requested.emplace(peer, e.now);
    inventory_revisions have{};
    for (std::size_t i = 0; i < inventory_kinds; ++i) {
        const auto& list = inventory.lists.at(i);
        const bool is_base = list.is_complete && !list.needs_whole_copy;
        const auto known = is_base ? list.at : store_revision{};
        have.at(i) = with_lists ? known : max_revision;
    }
    have.at(static_cast<std::size_t>(inventory_kind::configuration)) =
        generation_for_request(state);
    out.emplace_back(fetch_inventory_effect{peer, have});
}

void request_hosts_from_seeds(const control_state& state, effects& out)
{
    inventory_revisions have;
    have.fill(max_revision);
    have.at(static_cast<std::size_t>(inventory_kind::hosts)) = {};
    for (const auto& seed : state.self.seeds) {
        if (seed != state.self.registration.peers) {
            out.emplace_back(fetch_inventory_effect{seed, have});
        }
    }
}

/// A random host, mostly of the same region, so that the queries of many starting hosts are spread.
const endpoint* random_peer(control_state& state)
{
    constexpr std::uint64_t cross_region_interval = 4;
    const auto region = [&](const failure_domain_id& domain) {
        const auto found = state.self.domains.find(domain);
        return found == state.self.domains.end() ? region_id{} : found->second;
    };
    const auto home = region(state.self.domain);
    const bool is_cross_region_turn = state.random() % cross_region_interval == 0;
    std::vector<const endpoint*> peers;
    for (const auto& [id, h] : state.inventory.hosts) {
        if (id != state.self.host && (is_cross_region_turn || region(h.domain) == home)) {
            peers.push_back(&h.peers);
        }
    }
    return peers.empty() ? nullptr : peers[state.random() % peers.size()];
}

/// Whether this host was a follower of the store at its latest tick.
bool follows(const control_state& state)
{
    return state.inventory.own_rank < followers_per_region;
}

/// Whether this host is currently reading the lists from the store.
bool reads_lists(const control_state& state)
{
    return follows(state) && std::ranges::all_of(lists_from_peers, [&](const auto kind) {
               const auto& list = list_of(state.inventory, kind);
               return list.failures == 0 && (list.is_complete || list.call_running);
           });
}

} // namespace

inventory_revisions revisions_of(const inventory_state& inventory)
{
    inventory_revisions all{};
    for (std::size_t i = 0; i < inventory_kinds; ++i) {
        const auto& list = inventory.lists.at(i);
        all.at(i) = list.is_complete ? list.changed : store_revision{};
    }
    return all;
}

inventory_digests digests_of(const inventory_state& inventory)
{
    inventory_digests all{};
    for (const auto kind : lists_from_peers) {
        const auto& list = list_of(inventory, kind);
        all.at(static_cast<std::size_t>(kind)) =
            list.is_complete ? digest_of(list.content) : list_digest{};
    }
    return all;
}

inventory_ages confirmation_ages(const control_state& state, monotonic_time now)
{
    inventory_ages ages;
    for (std::size_t i = 0; i < inventory_kinds; ++i) {
        const auto confirmed = state.inventory.lists.at(i).confirmed;
        const auto age = std::chrono::duration_cast<milliseconds>(now - confirmed);
        ages.at(i) =
            confirmed == monotonic_time{} ? never_confirmed : std::min(age, never_confirmed);
    }
    return ages;
}

inventory_copy copy_of(const control_state& state, const inventory_revisions& stated,
                       monotonic_time now)
{
    const auto& inventory = state.inventory;
    const auto have = in_known_era(state, stated);
    inventory_copy copy;
    copy.at = revisions_of(inventory);
    const auto generation_known = have.at(static_cast<std::size_t>(inventory_kind::configuration));
    copy.configuration = encoded_change_since(state, generation{generation_known.value});
    for (std::size_t i = 0; i < inventory_kinds; ++i) {
        const auto kind = static_cast<inventory_kind>(i);
        const bool has_changes = copy.at.at(i) > have.at(i);
        if (kind == inventory_kind::configuration || !has_changes) {
            copy.at.at(i) = {};
            continue;
        }
        const bool as_changes = have.at(i).value != 0 && have.at(i).era == copy.at.at(i).era &&
                                has_all_changes(inventory, kind, have.at(i));
        copy.since.at(i) = as_changes ? have.at(i) : store_revision{};
        copy.digests.at(i) = digest_of(inventory.lists.at(i).content);
        const auto names =
            as_changes ? changed_names(inventory, kind, have.at(i)) : all_names(inventory, kind);
        for (const auto& name : names) {
            add_entry(state, kind, name, now, copy);
        }
    }
    return copy;
}

namespace {

void report_unreadable_change(control_state& state, const event& e, const std::string& peer,
                              const error& problem, effects& out)
{
    decide(state, out, e.wall,
           {"refuse_change",
            "a change that cannot be decoded is ignored",
            "A change of the configuration from another host cannot be decoded.",
            {},
            {{"source", peer}, {"why", problem.detail}}});
}

/// Applies what a peer has sent, if it is newer.
void apply_copy(control_state& state, const event& e, inventory_copy stated,
                const std::string& peer, effects& out)
{
    for (const auto& revision : stated.at) {
        note_peer_era(state, e, revision.era, host_id(peer), out);
    }
    const auto copy = in_known_era(state, std::move(stated));
    if (copy.configuration && !copy.configuration->empty()) {
        auto change = decode_fleet_change(*copy.configuration);
        if (succeeded(change)) {
            adopt_change(state, e, std::move(value_of(change)), *copy.configuration, peer, out);
        } else {
            report_unreadable_change(state, e, peer, error_of(change), out);
        }
    }
    for (std::size_t i = 0; i < inventory_kinds; ++i) {
        const auto kind = static_cast<inventory_kind>(i);
        const bool is_wanted = kind != inventory_kind::configuration &&
                               is_applicable(state.inventory.lists.at(i), copy, i);
        if (is_wanted) {
            apply_list(state, e, kind, copy, peer, out);
        }
    }
    start_serving_if_ready(state, e, out);
}

} // namespace

void handle_peer_inventory(control_state& state, const event& e, const peer_inventory_event& answer,
                           effects& out)
{
    const auto peer = parse_endpoint(answer.peer);
    if (succeeded(peer)) {
        state.inventory.copies_requested.erase(value_of(peer));
    }
    if (!succeeded(answer.copy)) {
        return;
    }
    const auto& copy = value_of(answer.copy);
    apply_copy(state, e, copy, answer.peer, out);
    // Earlier versions send the configuration as a text of its own.
    const bool lacks_text =
        !copy.configuration && state.fleet.newest_heard > generation_in_force(state);
    if (lacks_text && succeeded(peer)) {
        out.emplace_back(fetch_fleet_effect{value_of(peer)});
    }
}

std::string encode_changes(const control_state& state, inventory_kind kind, store_revision since)
{
    inventory_copy changes;
    if (kind == inventory_kind::configuration) {
        changes.configuration = state.fleet.latest_change;
    } else {
        if (since.value == 0 || !has_all_changes(state.inventory, kind, since)) {
            return {};
        }
        inventory_revisions have;
        have.fill(max_revision);
        have.at(static_cast<std::size_t>(kind)) = since;
        changes = copy_of(state, have, state.now);
        changes.configuration.reset();
    }
    auto text = encode(changes);
    return text.size() <= max_recent_changes_bytes ? text : std::string();
}

void apply_announced_changes(control_state& state, const event& e, const gossip_message& message,
                             effects& out)
{
    if (message.recent_changes.empty() || !state.self.has_inventory || follows(state)) {
        return;
    }
    const auto copy = decode_inventory_copy(message.recent_changes);
    if (succeeded(copy)) {
        apply_copy(state, e, value_of(copy), message.from.value, out);
    } else {
        report_unreadable_change(state, e, message.from.value, error_of(copy), out);
    }
}

void compare_peer_revisions(control_state& state, const event& e, const gossip_message& message,
                            const endpoint& peer, effects& out)
{
    if (!state.self.has_inventory) {
        return;
    }
    auto& inventory = state.inventory;
    bool lacks_configuration = false;
    bool lacks_lists = false;
    for (std::size_t i = 0; i < inventory_kinds; ++i) {
        auto& list = inventory.lists.at(i);
        const auto theirs = in_known_era(state, message.inventory.at(i));
        const auto digest = message.digests.at(i);
        const bool is_configuration =
            static_cast<inventory_kind>(i) == inventory_kind::configuration;
        const bool lacks_text = message.in_force > generation_in_force(state);
        const bool lacks_changes = is_behind(list, theirs, digest);
        const bool behind = is_configuration ? lacks_text : lacks_changes;
        const bool is_confirmed = message.confirmed.at(i) < never_confirmed &&
                                  (is_configuration ? message.in_force.value != 0
                                                    : shares_confirmation(list, theirs, digest));
        if (!behind && is_confirmed) {
            confirm_list(list, e.now - message.confirmed.at(i));
        }
        if (lacks_changes && list.behind_since == monotonic_time{}) {
            list.behind_since = e.now;
        }
        if (!is_configuration) {
            adopt_revision(list, theirs, digest);
        }
        const bool can_read =
            follows(state) && list.failures == 0 &&
            (list.is_complete ? state.fleet.platform_reachable : list.call_running);
        // A change of the configuration costs little to fetch, so followers need not wait for the
        // store either.
        lacks_configuration = lacks_configuration || (is_configuration && behind);
        lacks_lists = lacks_lists || (!is_configuration && behind && !can_read);
    }
    if (lacks_configuration || lacks_lists) {
        const bool is_starting = state.stage == life_stage::starting;
        request_copy(state, e, peer, lacks_lists || is_starting, out);
    }
}

void query_peers_while_starting(control_state& state, const event& e, effects& out)
{
    auto& inventory = state.inventory;
    const bool lacks_lists = std::ranges::any_of(
        lists_from_peers, [&](const auto kind) { return !list_of(inventory, kind).is_complete; });
    const bool lacks_something = lacks_lists || !state.fleet.envelope;
    if (state.stage != life_stage::starting || !lacks_something ||
        e.now < inventory.next_startup_query) {
        return;
    }
    inventory.next_startup_query = e.now + startup_query_interval;
    if (!list_of(inventory, inventory_kind::hosts).is_complete) {
        request_hosts_from_seeds(state, out);
        return;
    }
    const auto* peer = random_peer(state);
    if (peer == nullptr) {
        return;
    }
    if ((lacks_lists && !reads_lists(state)) || !state.fleet.envelope) {
        request_copy(state, e, *peer, true, out);
    }
}

void drop_confirmations_after_suspension(control_state& state, const event& e)
{
    const auto steady = e.now - state.membership.last_tick;
    const auto wall = e.wall - state.membership.last_wall_tick;
    const bool is_first = state.membership.last_tick == monotonic_time{};
    state.membership.last_wall_tick = e.wall;
    if (is_first || std::chrono::abs(wall - steady) < tolerated_drift) {
        return;
    }
    state.membership.resumed = e.now;
    for (auto& list : state.inventory.lists) {
        list.confirmed = {};
    }
}

} // namespace almondquay
