#include "control/store_era.h"

#include "control/decisions.h"
#include "control/inventory_sync.h"
#include "control/membership.h"
#include "control/store_followers.h"

#include <algorithm>
#include <utility>

namespace almondquay {

namespace {

std::string text_of(store_era era)
{
    return era.value ? std::to_string(*era.value) : "none";
}

void register_again(control_state& state, monotonic_time now)
{
    std::uniform_int_distribution<std::int64_t> delay(0, registration_spread.count());
    state.inventory.is_registered = false;
    state.inventory.registration_running = false;
    state.inventory.next_registration = now + std::chrono::milliseconds(delay(state.random));
}

std::string revisions_text(const inventory_state& inventory)
{
    std::string text;
    for (const auto& list : inventory.lists) {
        text += (text.empty() ? "" : ",") + std::to_string(list.at.value);
    }
    return text;
}

/// `peer` is empty if an answer of the store states the era.
void begin_era(control_state& state, const event& e, store_era era, const host_id& peer,
               effects& out)
{
    auto& inventory = state.inventory;
    const auto before = std::exchange(inventory.era, era);
    const bool has_lists = std::ranges::any_of(
        inventory.lists, [](const inventory_list& list) { return list.is_complete; });
    if (!before.value && !has_lists) {
        return; // The first answer that this host gets.
    }
    inventory.era_began = e.now;
    const auto revisions = revisions_text(inventory);
    for (auto& list : inventory.lists) {
        restart_reading(list, e.now);
    }
    register_again(state, e.now);
    decide(state, out, e.wall,
           {"store_era",
            "lists of an earlier era stay in force until they have been read anew",
            "The store has returned from an older copy of itself; its lists are read anew.",
            {},
            {{"era", text_of(era)},
             {"era_before", text_of(before)},
             {"revisions_before", revisions},
             {"source", peer.value.empty() ? "store" : peer.value}}});
    // The followers need not wait for answers of their own.
    if (inventory.own_rank < followers_per_region || peer.value.empty()) {
        announce(state, out);
        send_state(state, all_followers(state, e.now), out);
    }
}

} // namespace

void restart_reading(inventory_list& list, monotonic_time now)
{
    list.is_following = false;
    list.call_running = false;
    list.page_after.clear();
    list.seen.clear();
    list.behind_since = {};
    list.next_call = now;
}

store_era stated_or_known(const control_state& state, store_era era)
{
    return era.value ? era : state.inventory.era;
}

store_revision in_known_era(const control_state& state, store_revision revision)
{
    return revision.value == 0
               ? revision
               : store_revision(revision.value, stated_or_known(state, revision.era));
}

inventory_revisions in_known_era(const control_state& state, inventory_revisions revisions)
{
    for (auto& revision : revisions) {
        revision = in_known_era(state, revision);
    }
    return revisions;
}

inventory_page in_known_era(const control_state& state, inventory_page page)
{
    page.at = in_known_era(state, page.at);
    for (auto& item : page.items) {
        item.revision = in_known_era(state, item.revision);
    }
    return page;
}

inventory_copy in_known_era(const control_state& state, inventory_copy copy)
{
    copy.at = in_known_era(state, copy.at);
    copy.since = in_known_era(state, copy.since);
    for (auto& of_kind : copy.revisions) {
        for (auto& [name, revision] : of_kind) {
            revision = in_known_era(state, revision);
        }
    }
    return copy;
}

void note_answer_era(control_state& state, const event& e, const era_statement& era,
                     bool is_expected, effects& out)
{
    auto& inventory = state.inventory;
    if (era.era.value) {
        inventory.is_era_missing = false;
        if (era.era > inventory.era) {
            begin_era(state, e, era.era, {}, out);
        }
        return;
    }
    const bool is_missing = is_expected && inventory.era.value.has_value();
    const bool is_reported =
        std::exchange(inventory.is_era_missing,
                      inventory.is_era_missing || is_missing || !era.unreadable.empty());
    if (inventory.is_era_missing && !is_reported) {
        decide(state, out, e.wall,
               {"store_era_missing",
                "an answer that states no era counts as one of the known era",
                "An answer of the store states no era that can be read.",
                {},
                {{"era", text_of(inventory.era)}, {"stated", era.unreadable}}});
    }
}

void note_peer_era(control_state& state, const event& e, store_era era, const host_id& peer,
                   effects& out)
{
    if (state.self.has_inventory && era > state.inventory.era) {
        begin_era(state, e, era, peer, out);
    }
}

std::optional<monotonic_time> may_return_until(const control_state& state, inventory_kind kind,
                                               monotonic_time now)
{
    if (state.inventory.era_began == monotonic_time{}) {
        return std::nullopt;
    }
    const auto time =
        kind == inventory_kind::hosts ? host_reregistration_time : reregistration_time;
    const auto until = state.inventory.era_began + time;
    return now < until ? std::optional(until) : std::nullopt;
}

bool may_be_outdated(const control_state& state, monotonic_time now)
{
    return may_return_until(state, inventory_kind::targets, now).has_value();
}

} // namespace almondquay
