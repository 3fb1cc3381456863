#pragma once

#include "common/authentication.h"
#include "http/client.h"

#include <functional>
#include <string>

namespace almondquay {

/// Receives the method's result. Errors: peer_unreachable (nothing was sent), peer_answer_lost,
/// peer_unauthenticated, peer_message_malformed.
using rpc_handler = std::function<void(result<std::string>)>;

/// Calls `method` of the process at `to` by signed JSON-RPC and verifies the response's signature.
void call_rpc(http::client& client, const shared_secret& secret, const endpoint& to,
              const std::string& method, const std::string& argument,
              std::chrono::milliseconds timeout, rpc_handler handler);

} // namespace almondquay
