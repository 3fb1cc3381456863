#pragma once

#include "common/result.h"
#include "config/fleet.h"
#include "config/fleet_envelope.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// The inventory of a fleet whose members register themselves with a store: one list per kind of
/// entry, read completely once and then kept up to date from its changes.
namespace almondquay {

/// The lists that a host keeps.
enum class inventory_kind { configuration, targets, evacuations, hosts };

constexpr std::size_t inventory_kinds = 4;

/// For each kind, the revision of the local copy of its list; 0 if there is none.
using inventory_revisions = std::array<store_revision, inventory_kinds>;

/// The revision of the last change of each entry of a list, by name.
using entry_revisions = std::map<std::string, store_revision>;

/// Identifies the content of a list: the names of its entries and their revisions. 0: not known.
using list_digest = strong_type<struct list_digest_tag, std::uint64_t>;
using inventory_digests = std::array<list_digest, inventory_kinds>;

/// For each kind, the time since the local copy of its list was last known to be complete.
using inventory_ages = std::array<std::chrono::milliseconds, inventory_kinds>;
/// The maximum age; also the age of a copy that was never known to be complete.
constexpr std::chrono::milliseconds never_confirmed{60'000};

/// "configuration", "targets", "evacuated domains" or "hosts".
std::string_view name_of(inventory_kind kind);

/// A target as it registered itself.
struct registered_target {
    target definition;
    std::chrono::milliseconds cold_left{0}; ///< remaining warm-up time at its last registration

    bool operator==(const registered_target&) const = default;
};

/// A failure domain whose targets must not get requests.
struct evacuation {
    failure_domain_id domain;

    bool operator==(const evacuation&) const = default;
};

/// An entry that cannot be parsed; it is ignored.
struct unreadable_entry {
    std::string why;

    bool operator==(const unreadable_entry&) const = default;
};

/// The entry was deleted.
struct deleted_entry {
    bool operator==(const deleted_entry&) const = default;
};

struct inventory_item {
    std::string name; ///< unique within its kind
    std::variant<deleted_entry, unreadable_entry, fleet_envelope, registered_target, evacuation,
                 host>
        entry;
    store_revision revision{}; ///< of its last change; 0: not known
};

/// A page of a list, or the changes since a revision.
struct inventory_page {
    std::vector<inventory_item> items;
    store_revision at;     ///< the revision from which to follow changes
    bool has_more = false; ///< for a list: the next page begins after the last item's name
};

/// What one answer of the store says about its era.
struct era_statement {
    store_era era;            ///< nothing if it is missing or unreadable
    std::string unreadable{}; ///< the text that could not be read
};

/// A read of a list's page or, with `follow`, of the changes after `since`, by long polling for up
/// to `wait`.
struct inventory_query {
    inventory_kind kind = inventory_kind::configuration;
    bool follow = false;
    std::string after;    ///< for a list: the name after which the page begins
    store_revision since; ///< for changes: the revision after which they begin
    std::chrono::milliseconds wait{0};
    std::uint64_t number = 0; ///< correlates a response with its call
};

} // namespace almondquay
