#pragma once

#include "common/result.h"
#include "store/inventory.h"

#include <string>
#include <string_view>
#include <vector>

/// A host's copy of the store's inventory, as peers pass it on while the store is away.
namespace almondquay {

struct inventory_copy {
    inventory_revisions at;
    std::vector<registered_target> targets; ///< with what is left of their cold time
    std::vector<host> hosts;
    std::vector<failure_domain_id> evacuated;
};

/// JSON.
std::string encode(const inventory_copy& copy);

/// Errors: peer_message_malformed.
result<inventory_copy> decode_inventory_copy(std::string_view text);

} // namespace almondquay
