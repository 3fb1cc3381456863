#pragma once

#include "common/authentication.h"
#include "http/client.h"

#include <functional>
#include <string>

namespace almondquay {

/// The method's answer. Errors: peer_unreachable (nothing was sent), peer_answer_lost,
/// peer_unauthenticated, peer_message_malformed.
using rpc_handler = std::function<void(result<std::string>)>;

/// Calls `method` of the process at `to` with signed JSON-RPC and checks the answer's signature.
void call_rpc(http::client& client, const shared_secret& secret, const endpoint& to,
              const std::string& method, const std::string& argument,
              std::chrono::milliseconds timeout, rpc_handler handler);

} // namespace almondquay
