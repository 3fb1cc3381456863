#pragma once

#include "common/result.h"
#include "store/inventory.h"

#include <string>
#include <string_view>
#include <vector>

/// A host's copy of the store's inventory, or what changed in it, as peers pass it on.
namespace almondquay {

/// An entry that is no longer listed. A target whose entry lapsed while the store was away keeps
/// its place for a while.
struct gone_entry {
    inventory_kind kind = inventory_kind::targets;
    std::string name;
    std::chrono::milliseconds kept_for{0}; ///< from the moment of the copy; 0: gone already

    bool operator==(const gone_entry&) const = default;
};

struct inventory_copy {
    inventory_revisions at{};
    /// For each list, the revision after which the copy holds its changes; 0: it holds all of it.
    inventory_revisions since{};
    std::vector<registered_target> targets; ///< with what is left of their cold time
    std::vector<host> hosts;
    std::vector<failure_domain_id> evacuated;
    std::vector<gone_entry> gone;
};

/// JSON.
std::string encode(const inventory_copy& copy);

/// Errors: peer_message_malformed.
result<inventory_copy> decode_inventory_copy(std::string_view text);

/// What a host says it has, for a peer to answer with what it lacks: a JSON list of revisions.
std::string encode(const inventory_revisions& have);

/// Errors: peer_message_malformed. An empty text means that the asking host has nothing.
result<inventory_revisions> decode_inventory_revisions(std::string_view text);

} // namespace almondquay
