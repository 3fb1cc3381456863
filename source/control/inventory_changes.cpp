#include "control/inventory_changes.h"

namespace almondquay {

void record_change(inventory_state& inventory, inventory_kind kind, store_revision at,
                   std::string name)
{
    inventory.changes.push_back({at, kind, std::move(name)});
    while (inventory.changes.size() > max_kept_changes) {
        const auto& oldest = inventory.changes.front();
        auto& since = inventory.changes_since.at(static_cast<std::size_t>(oldest.kind));
        since = std::max(since, oldest.at);
        inventory.changes.pop_front();
    }
}

void record_list_replacement(inventory_state& inventory, inventory_kind kind, store_revision at)
{
    auto& since = inventory.changes_since.at(static_cast<std::size_t>(kind));
    since = std::max(since, at);
}

bool has_all_changes(const inventory_state& inventory, inventory_kind kind, store_revision since)
{
    return since >= inventory.changes_since.at(static_cast<std::size_t>(kind));
}

std::set<std::string> changed_names(const inventory_state& inventory, inventory_kind kind,
                                    store_revision since)
{
    std::set<std::string> names;
    for (const auto& change : inventory.changes) {
        if (change.kind == kind && change.at > since) {
            names.insert(change.name);
        }
    }
    return names;
}

} // namespace almondquay
