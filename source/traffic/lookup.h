#pragma once

#include "traffic/forward.h"
#include "traffic/worker.h"

/// Look-up and readiness requests from callers.
namespace almondquay {

/// Whether this host has a routing snapshot of the configuration in force.
bool is_ready(const worker& w);

/// Responds with the hosts to which the caller may send its requests.
asio::awaitable<void> answer_lookup(worker& w, caller_connection& connection, std::uint64_t turn,
                                    const caller_parser& parser);

/// Responds with 200 while this host accepts callers, otherwise with 503.
asio::awaitable<void> answer_readiness(worker& w, caller_connection& connection, std::uint64_t turn,
                                       const caller_parser& parser);

} // namespace almondquay
