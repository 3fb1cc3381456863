#pragma once

#include "traffic/worker.h"

namespace almondquay {

/// Serves one caller's connection until it closes: look-ups and requests, one at a time.
asio::awaitable<void> serve_caller(worker& w, caller_connection& connection);

} // namespace almondquay
