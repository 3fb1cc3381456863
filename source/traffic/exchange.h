#pragma once

#include "traffic/forward.h"

/// One attempt of a request on one connection to a target.
namespace almondquay {

/// Sends the request, waits for the response header and relays the response to the caller.
asio::awaitable<forward_result> exchange(worker& w, caller_request& request, const slot& used,
                                         connection_ptr upstream);

} // namespace almondquay
