#pragma once

#include "control/state.h"

#include <set>
#include <string>

/// A bounded log of changed inventory names, so that peers can be sent the changes they lack
/// instead of whole lists.
namespace almondquay {

/// Maximum number of logged changes. Older ones are dropped; peers that lack them are sent whole
/// lists.
constexpr std::size_t max_kept_changes = 4'096;

/// Records that the entry `name` changed at revision `at`.
void record_change(inventory_state& inventory, inventory_kind kind, store_revision at,
                   std::string name);

/// Records that a list was replaced as a whole at revision `at`, so that the individual changes up
/// to it are not known.
void record_list_replacement(inventory_state& inventory, inventory_kind kind, store_revision at);

/// Whether the log holds all changes of the list after `since`.
bool has_all_changes(const inventory_state& inventory, inventory_kind kind, store_revision since);

/// The names that changed after `since`.
std::set<std::string> changed_names(const inventory_state& inventory, inventory_kind kind,
                                    store_revision since);

} // namespace almondquay
