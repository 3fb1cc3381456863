#pragma once

#include "traffic/forward.h"
#include "traffic/worker.h"

/// Look-up and readiness requests from callers.
namespace almondquay {

/// Whether this host has a routing snapshot of the configuration in force.
bool is_ready(const worker& w);

/// Responds with the hosts to which the caller may send its requests. Unless the request's body
/// has been read, the connection must not be kept alive.
asio::awaitable<void> answer_lookup(worker& w, caller_connection& connection, std::uint64_t turn,
                                    const caller_parser& parser, bool keep_alive);

/// Responds with 200 while this host accepts callers, otherwise with 503; `keep_alive` as above.
asio::awaitable<void> answer_readiness(worker& w, caller_connection& connection, std::uint64_t turn,
                                       bool keep_alive);

} // namespace almondquay
