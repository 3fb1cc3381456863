#pragma once

#include "traffic/forward.h"

/// Spillover: requests that entry hosts of one failure domain forward to another within the
/// capacity granted to them.
namespace almondquay {

/// Header of a spilled request: the sending host's signature over service, method and path.
inline constexpr std::string_view spill_header = "Almondquay-Spill";

/// The signature that the sending host puts into the header.
std::string spill_signature(const worker& w, std::string_view service,
                            const caller_parser::value_type& request);

/// Whether the request has a valid signature of an entry host. Such a request is not spilled again,
/// and its idempotency key has been claimed by the sending host.
bool is_spilled(const worker& w, std::string_view service,
                const caller_parser::value_type& request);

/// Limits the transfer of a spilled request to its share of the granted rate.
struct pacing {
    double bytes_per_second = 0; ///< 0: unlimited
    double bytes = 0;
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

/// Counts `size` bytes and waits until they are within the rate.
asio::awaitable<void> pace(worker& w, pacing& p, std::size_t size);

} // namespace almondquay
