#pragma once

#include "traffic/outcome.h"
#include "traffic/worker.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// Carries one caller's request to a target and the answer back.
namespace almondquay {

using caller_parser = beast::http::request_parser<beast::http::buffer_body>;

/// Bodies up to this size are held in memory, so that they can be sent a second time; what is
/// larger passes through in pieces of this size.
constexpr std::size_t body_piece_bytes = 64UL * 1024;

/// A request whose header and first piece of body have been read.
struct caller_request : running_work {
    caller_connection* caller = nullptr;
    caller_parser* parser = nullptr;  ///< reads the rest of a body that does not fit
    std::uint64_t turn = 0;           ///< its place among the connection's requests
    snapshot_ptr snapshot;            ///< the view under which it was taken; `rule` lives in it
    const route_rule* rule = nullptr; ///< nullptr where the Host header names the service
    std::string service;
    std::string id; ///< given by the caller; empty if callers give none
    std::optional<std::uint64_t> object;
    request_fingerprint fingerprint = 0;
    std::chrono::steady_clock::time_point started;
    std::chrono::steady_clock::time_point deadline;
    bool is_spilled = false; ///< sent by an entry host of another failure domain
    bool keep_alive = false;
    bool is_sampled = false;          ///< logged also if it succeeds
    bool is_shed_near = false;        ///< by a target of its region, which had no room
    bool may_try_again = false;       ///< a failed answer need not be passed on
    std::optional<target_id> doubted; ///< whose late answer made an attempt be given up
    std::string body;                 ///< the first piece
    bool body_is_complete = false;
};

/// An answer that was passed on whole, kept for a caller that asks again.
struct kept_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// How a request ended.
struct forward_end {
    result_code code = result_code::ok;
    outcome what = outcome::not_run;
    bool answered = false;           ///< the caller has (at least part of) the target's answer
    bool caller_usable = true;       ///< the caller's connection can carry another request
    std::optional<kept_answer> kept; ///< only for requests that must not repeat
    std::chrono::milliseconds retry_after{0}; ///< when a refused request may be sent again
};

/// Finds a target, sends the request and passes the answer on as it comes. Retries within the
/// deadline and the service's budget: a repeatable request after any failure before the answer
/// has begun, others only after a proven "not run".
asio::awaitable<forward_end> forward(worker& w, caller_request& request);

} // namespace almondquay
