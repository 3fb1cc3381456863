#pragma once

#include "common/result.h"
#include "store/inventory.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A host's copy of the store's inventory, or the changes in it, as exchanged between peers. Among
/// the revisions that a host sends to request one, that of the configuration is its generation.
namespace almondquay {

/// An entry that is no longer listed. A target whose entry expired while the store was unavailable
/// remains in use for a grace period.
struct removed_entry {
    inventory_kind kind = inventory_kind::targets;
    std::string name;
    std::chrono::milliseconds grace_left{0}; ///< remaining grace period; 0: removed already

    bool operator==(const removed_entry&) const = default;
};

struct inventory_copy {
    inventory_revisions at{}; ///< the revision of each list that the copy reflects
    /// For each list, the revision since which the copy contains the changes; 0: the whole list.
    inventory_revisions since{};
    std::vector<registered_target> targets; ///< with their remaining warm-up time
    std::vector<host> hosts;
    std::vector<failure_domain_id> evacuated;
    std::vector<removed_entry> removed;
    /// For each list, the revisions of the entries above. Earlier versions do not send them.
    std::array<entry_revisions, inventory_kinds> revisions{};
    inventory_digests digests{}; ///< of the peer's whole lists; not known from earlier versions
    /// An encoded fleet_change, empty if the peer's configuration is not newer. Nothing if the peer
    /// does not send configurations in this way.
    std::optional<std::string> configuration{};
};

/// Encodes as JSON.
std::string encode(const inventory_copy& copy);

/// Errors: peer_message_malformed.
result<inventory_copy> decode_inventory_copy(std::string_view text);

/// Encodes the revisions that a host has as a JSON array; a peer answers with what is missing.
std::string encode(const inventory_revisions& have);

/// Errors: peer_message_malformed. Empty text means that the requesting host has no inventory.
result<inventory_revisions> decode_inventory_revisions(std::string_view text);

} // namespace almondquay
