#pragma once

#include "traffic/forward.h"
#include "traffic/worker.h"

#include "claims/claim_record.h"

/// Answers that this host makes itself: refusals, look-ups, and kept answers given again.
namespace almondquay {

using small_response = beast::http::response<beast::http::string_body>;

/// Writes an answer when its turn comes.
asio::awaitable<void> write_small(worker& w, caller_connection& connection, std::uint64_t turn,
                                  small_response& answer, bool keep_alive);

/// Refuses a request with its result code, its outcome and, where it may be sent again, when.
asio::awaitable<void> refuse(worker& w, caller_connection& connection, std::uint64_t turn,
                             const forward_end& end, bool keep_alive);

/// The end of a request that was refused unrun.
forward_end refused_end(result_code code);

/// Gives the first answer to a caller that asked again.
asio::awaitable<void> replay(worker& w, caller_connection& connection, std::uint64_t turn,
                             claim_answer kept, bool keep_alive);

} // namespace almondquay
