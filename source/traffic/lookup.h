#pragma once

#include "traffic/forward.h"
#include "traffic/worker.h"

/// Requests that this host answers itself: look-ups and readiness checks.
namespace almondquay {

/// Whether this host has a routing snapshot of the configuration in force.
bool is_ready(const worker& w);

/// Whether this host answers the request itself, whatever its method. That depends on the address
/// at which it arrived; all other requests are routed.
bool is_for_host(const worker& w, const caller_connection& connection, const caller_parser& parser);

/// Why a request that `is_for_host` is refused: path_unknown or method_not_allowed; else ok.
result_code check_host_request(const worker& w, const caller_connection& connection,
                               const caller_parser& parser);

/// Answers a request that `check_host_request` has accepted: a look-up with the hosts to which the
/// caller may send its requests, a readiness check with 200 while this host accepts callers and 503
/// otherwise. Unless the request's body has been read, the connection must not be kept alive.
asio::awaitable<void> answer_host_request(worker& w, caller_connection& connection,
                                          std::uint64_t turn, const caller_parser& parser,
                                          bool keep_alive);

} // namespace almondquay
