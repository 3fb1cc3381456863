#pragma once

#include "traffic/forward.h"

/// Work that one failure domain sends to another within its grants.
namespace almondquay {

/// On a spilled request: the signature of the sending host over service, method and path.
inline constexpr std::string_view spill_header = "Almondquay-Spill";

/// What a sending host puts into the header.
std::string spill_proof(const worker& w, std::string_view service,
                        const caller_parser::value_type& request);

/// Whether an entry host has sent this request. It is then not spilled again, and its key has been
/// claimed where it came from.
bool is_spilled(const worker& w, std::string_view service,
                const caller_parser::value_type& request);

/// Holds the pieces of a spilled request to its part of the granted rate.
struct pacing {
    double bytes_per_second = 0; ///< 0: not paced
    double bytes = 0;
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

/// Counts `size` bytes and waits until they are within the rate.
asio::awaitable<void> pace(worker& w, pacing& p, std::size_t size);

} // namespace almondquay
