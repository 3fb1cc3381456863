#pragma once

#include "common/strong_type.h"

#include <cstddef>
#include <cstdint>

namespace almondquay {

/// The share of a target's `whole` slots that the host at `position` of `hosts` may use. Shares
/// depend on the configuration alone and not on which hosts are alive, so those of all hosts always
/// add up to `whole`. The remainder goes to consecutive hosts from `first` on: if each target
/// starts where the previous one ended, the hosts' totals over all targets differ by at most one.
std::uint32_t share_of(std::uint32_t whole, std::size_t first, std::size_t position,
                       std::size_t hosts);

/// A pseudo-random starting position, for a target that is not balanced together with others.
std::size_t hashed_position(const target_id& name);

} // namespace almondquay
