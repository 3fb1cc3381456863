#pragma once

#include "common/strong_type.h"

#include <cstddef>
#include <cstdint>

namespace almondquay {

/// The part of `whole` that the host at `position` of `hosts` may use of one target. The parts of
/// all hosts add up to `whole` whatever happens, since they depend on the text alone and not on
/// who is alive. Remainders start at a different host for each target, so that none gets them all.
std::uint32_t share_of(std::uint32_t whole, const target_id& target, std::size_t position,
                       std::size_t hosts);

} // namespace almondquay
