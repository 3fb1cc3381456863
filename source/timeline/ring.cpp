#include "timeline/ring.h"

#include <algorithm>
#include <iterator>

namespace almondquay {

void record(timeline_ring& ring, decision d)
{
    if (ring.decisions.full()) {
        ++ring.dropped;
    }
    ring.decisions.push_back(std::move(d));
}

std::vector<decision> decisions_since(const timeline_ring& ring, hybrid_time since)
{
    std::vector<decision> found;
    std::ranges::copy_if(ring.decisions, std::back_inserter(found),
                         [&](const decision& d) { return d.time >= since; });
    return found;
}

} // namespace almondquay
