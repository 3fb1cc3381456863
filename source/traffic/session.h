#pragma once

#include "traffic/worker.h"

namespace almondquay {

/// Serves a caller's connection until it closes. Look-ups and requests are read one at a time;
/// pipelined requests may run concurrently.
asio::awaitable<void> serve_caller(worker& w, caller_connection& connection);

} // namespace almondquay
