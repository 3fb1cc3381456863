#pragma once

#include "common/strong_type.h"

#include <cstddef>
#include <cstdint>

namespace almondquay {

/// The part of `whole` that the host at `position` of `hosts` may use of one target. The parts of
/// all hosts add up to `whole` whatever happens, since they depend on the text alone and not on
/// who is alive. The remainder goes to the hosts from `first` on: if each target starts where the
/// one before it ended, the hosts' sums over all targets differ by one at most.
std::uint32_t share_of(std::uint32_t whole, std::size_t first, std::size_t position,
                       std::size_t hosts);

/// A starting place for what has no neighbours to be balanced with.
std::size_t first_of(const target_id& name);

} // namespace almondquay
