#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

/// Hybrid logical clock: orders events of several hosts causally and stays close to wall-clock
/// time. After S. Kulkarni et al., "Logical Physical Clocks", 2014.
namespace almondquay {

using monotonic_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

/// A hybrid timestamp: wall-clock milliseconds since the epoch and a logical counter.
struct hybrid_time {
    std::uint64_t wall_ms = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const hybrid_time&) const = default;
};

/// How far a received timestamp may be ahead of the local wall clock before it is ignored. Without
/// this limit one peer with a wrong clock would move the clocks of the whole fleet forward.
constexpr std::chrono::milliseconds max_clock_offset{60'000};

/// The next timestamp after `last`, for a local event at `now`.
hybrid_time advance(hybrid_time last, wall_time now);

/// The next timestamp after `last` and `received`, for a message that arrived at `now`.
hybrid_time advance(hybrid_time last, hybrid_time received, wall_time now);

/// Milliseconds since the epoch.
std::uint64_t milliseconds_of(wall_time t);

} // namespace almondquay
