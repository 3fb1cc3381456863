#pragma once

#include "timeline/decision.h"

#include <cstdint>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace almondquay {

/// Number of decisions that a host keeps; the oldest are overwritten.
constexpr std::size_t timeline_capacity = 4'096;

/// A host's most recent decisions, in a ring buffer.
struct timeline_ring {
    boost::circular_buffer<decision> decisions{timeline_capacity};
    std::uint64_t dropped = 0; ///< decisions that were overwritten
};

void record(timeline_ring& ring, decision d);

/// The decisions at or after `since`, oldest first.
std::vector<decision> decisions_since(const timeline_ring& ring, hybrid_time since);

} // namespace almondquay
