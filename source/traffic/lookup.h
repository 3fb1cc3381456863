#pragma once

#include "traffic/forward.h"
#include "traffic/worker.h"

/// Look-ups by callers, and whether this host takes callers.
namespace almondquay {

/// Whether this host knows what is in force.
bool is_ready(const worker& w);

/// Names the hosts where the caller may send its requests.
asio::awaitable<void> answer_lookup(worker& w, caller_connection& connection, std::uint64_t turn,
                                    const caller_parser& parser);

/// 200 while this host takes callers.
asio::awaitable<void> answer_readiness(worker& w, caller_connection& connection, std::uint64_t turn,
                                       const caller_parser& parser);

} // namespace almondquay
