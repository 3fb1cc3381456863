#pragma once

#include "common/result.h"
#include "config/fleet.h"
#include "config/fleet_envelope.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What a store tells of a fleet that registers itself: one list for each kind of thing, read whole
/// once and then followed by its changes.
namespace almondquay {

/// The lists that a host keeps.
enum class inventory_kind { configuration, targets, evacuations, hosts };

constexpr std::size_t inventory_kinds = 4;

/// For each kind, the revision up to which its list is known; 0 while it is not.
using inventory_revisions = std::array<store_revision, inventory_kinds>;

/// For each kind, how long ago its list was known to be whole.
using inventory_ages = std::array<std::chrono::milliseconds, inventory_kinds>;
constexpr std::chrono::milliseconds never_confirmed{60'000};

/// "configuration", "targets", "evacuated domains" or "hosts".
std::string_view name_of(inventory_kind kind);

/// A target as it registered itself.
struct registered_target {
    target what;
    std::chrono::milliseconds cold_left{0}; ///< from the moment of its last registration

    bool operator==(const registered_target&) const = default;
};

/// A failure domain whose targets are to get nothing.
struct evacuation {
    failure_domain_id domain;

    bool operator==(const evacuation&) const = default;
};

/// An entry that cannot be understood; it stands for nothing.
struct unreadable_entry {
    std::string why;

    bool operator==(const unreadable_entry&) const = default;
};

/// The entry was deleted.
struct absent_entry {
    bool operator==(const absent_entry&) const = default;
};

struct inventory_item {
    std::string name; ///< unique within its kind
    std::variant<absent_entry, unreadable_entry, fleet_envelope, registered_target, evacuation,
                 host>
        entry;
    store_revision revision{}; ///< of its last change; 0: not told
};

/// A page of a list, or the changes since a revision.
struct inventory_page {
    std::vector<inventory_item> items;
    store_revision at;     ///< follow changes from here
    bool has_more = false; ///< of a list: the next page begins after the last item's name
};

/// What to read: a page of the list, or changes since `since`, for which the store may wait.
struct inventory_question {
    inventory_kind kind = inventory_kind::configuration;
    bool follow = false;
    std::string after;    ///< of a list: the name after which the page begins
    store_revision since; ///< of changes
    std::chrono::milliseconds wait{0};
    std::uint64_t number = 0; ///< tells a host's questions apart
};

} // namespace almondquay
