#pragma once

#include "timeline/decision.h"

#include <cstdint>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace almondquay {

/// Decisions that one host keeps; the oldest make room for the newest.
constexpr std::size_t timeline_capacity = 4'096;

/// The bounded record of one host's decisions.
struct timeline_ring {
    boost::circular_buffer<decision> decisions{timeline_capacity};
    std::uint64_t dropped = 0; ///< decisions that had to make room
};

void record(timeline_ring& ring, decision d);

/// The decisions from `since` on, oldest first.
std::vector<decision> decisions_since(const timeline_ring& ring, hybrid_time since);

} // namespace almondquay
