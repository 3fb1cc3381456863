#include "common/hybrid_clock.h"

#include <algorithm>

namespace almondquay {

std::uint64_t milliseconds_of(wall_time t)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return static_cast<std::uint64_t>(duration_cast<milliseconds>(t.time_since_epoch()).count());
}

hybrid_time advance(hybrid_time last, wall_time now)
{
    const auto wall_ms = milliseconds_of(now);
    if (wall_ms > last.wall_ms) {
        return {wall_ms, 0};
    }
    return {last.wall_ms, last.counter + 1};
}

hybrid_time advance(hybrid_time last, hybrid_time received, wall_time now)
{
    const auto latest_accepted =
        milliseconds_of(now) + static_cast<std::uint64_t>(max_clock_offset.count());
    if (received.wall_ms > latest_accepted) {
        return advance(last, now);
    }
    return advance(std::max(last, received), now);
}

} // namespace almondquay
