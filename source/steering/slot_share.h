#pragma once

#include "common/strong_type.h"

#include <cstddef>
#include <cstdint>

namespace almondquay {

/// The number of a target's `whole` slots that the host with index `position` among `hosts` hosts
/// may use. Shares depend on the configuration alone and not on which hosts are alive, so the
/// shares of all hosts always add up to `whole`. The remainder of the division is given to
/// consecutive hosts, one slot each, starting with index `first`. If each target starts where the
/// previous one ended, the hosts' totals over all targets differ by at most one.
std::uint32_t share_of(std::uint32_t whole, std::size_t first, std::size_t position,
                       std::size_t hosts);

/// A pseudo-random value for `first`, derived from the name of a target whose remainder is not
/// balanced with that of other targets.
std::size_t hashed_position(const target_id& name);

} // namespace almondquay
