#pragma once

#include "control/state.h"

#include <set>
#include <string>

/// The latest changes of the inventory by name, so that peers can be told what they lack instead of
/// everything.
namespace almondquay {

/// Older changes are forgotten; peers that lack them get whole lists.
constexpr std::size_t max_kept_changes = 4'096;

/// Notes that the list has news of `name` with revision `at`.
void note_change(inventory_state& inventory, inventory_kind kind, store_revision at,
                 std::string name);

/// Notes that a list was replaced as a whole: changes before it are not known one by one.
void forget_changes(inventory_state& inventory, inventory_kind kind, store_revision at);

/// Whether all changes of the list after `since` are known.
bool knows_changes(const inventory_state& inventory, inventory_kind kind, store_revision since);

/// Names with news after `since`.
std::set<std::string> changed_names(const inventory_state& inventory, inventory_kind kind,
                                    store_revision since);

} // namespace almondquay
