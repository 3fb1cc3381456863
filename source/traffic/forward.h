#pragma once

#include "http/message_parser.h"
#include "traffic/outcome.h"
#include "traffic/worker.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// Forwards a caller's request to a target and relays the response.
namespace almondquay {

using caller_parser = http::request_parser<beast::http::buffer_body>;

/// Bodies up to this size are buffered so that they can be resent on a retry; larger ones are
/// streamed in pieces of this size.
constexpr std::size_t body_piece_bytes = 64UL * 1024;

/// A request whose header and first piece of body have been read.
struct caller_request : active_request {
    caller_connection* caller = nullptr;
    caller_parser* parser = nullptr;  ///< reads the rest of a body that is not buffered completely
    std::uint64_t turn = 0;           ///< sequence number among the connection's requests
    snapshot_ptr snapshot;            ///< the latest one when the request was read; owns `rule`
    const route_rule* rule = nullptr; ///< nullptr if the Host header names the service
    std::string service;
    std::string id; ///< request ID given by the caller; empty if there is none
    std::optional<std::uint64_t> object;
    request_fingerprint fingerprint = 0;
    std::chrono::steady_clock::time_point started;
    std::chrono::steady_clock::time_point deadline;
    bool is_spilled = false; ///< forwarded by an entry host of another failure domain
    bool keep_alive = false;
    bool is_sampled = false; ///< logged even if it succeeds
    bool was_shed = false;   ///< rejected for lack of capacity, so other regions may be used
    bool can_retry = false;  ///< a retry is possible, so an error response need not be relayed
    bool is_trial = false;   ///< sent although the route's estimate alone would refuse it
    std::optional<target_id> abandoned_target; ///< target of an attempt abandoned for a retry
    std::string body;                          ///< the first piece of the body
    bool body_is_complete = false;
};

/// A completely relayed response, stored for later requests with the same idempotency key.
struct stored_response {
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// Result of forwarding a request.
struct forward_result {
    result_code code = result_code::ok;
    outcome request_outcome = outcome::not_run;
    bool answered = false;     ///< at least part of the target's response was sent to the caller
    bool caller_usable = true; ///< the caller's connection can carry another request
    std::optional<stored_response> stored;    ///< only for non-idempotent requests
    std::chrono::milliseconds retry_after{0}; ///< delay before a refused request may be resent
};

/// Selects a target, sends the request and streams the response to the caller. Retries within the
/// deadline and the service's retry budget: a repeatable request after any failure before the
/// response has begun, others only if the previous attempt provably did not run.
asio::awaitable<forward_result> forward(worker& w, caller_request& request);

} // namespace almondquay
