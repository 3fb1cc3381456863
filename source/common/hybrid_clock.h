#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

/// Hybrid logical time: orders events of several hosts by cause, close to wall time.
/// After S. Kulkarni et al., "Logical Physical Clocks", 2014.
namespace almondquay {

using monotonic_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

/// A point in hybrid time: wall milliseconds since the epoch and a counter within them.
struct hybrid_time {
    std::uint64_t wall_ms = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const hybrid_time&) const = default;
};

/// How far a received time may lie ahead of the local wall clock before it is ignored. A peer
/// with a broken clock can thus not drag the whole fleet into the future.
constexpr std::chrono::milliseconds max_clock_lead{60'000};

/// The next time after `last`, for a local event at `now`.
hybrid_time advance(hybrid_time last, wall_time now);

/// The next time after `last` and after `received`, for a message that arrived at `now`.
hybrid_time advance(hybrid_time last, hybrid_time received, wall_time now);

/// Milliseconds since the epoch.
std::uint64_t milliseconds_of(wall_time t);

} // namespace almondquay
