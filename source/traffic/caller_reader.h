#pragma once

#include "common/result_code.h"
#include "traffic/forward.h"
#include "traffic/worker.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

/// Reads requests from a caller's connection within limits of size and time.
namespace almondquay {

/// Ends a read from the caller after a time, but leaves the connection open for a refusal, which
/// the stream's own timeout does not.
class read_limit {
public:
    read_limit(caller_connection& connection, std::chrono::milliseconds limit)
        : timer_(connection.stream.get_executor(), limit), state_(std::make_shared<shared_state>())
    {
        connection.stream.expires_never();
        timer_.async_wait([state = state_, &connection](const error_code& problem) {
            if (!problem && !state->ended) {
                state->expired = true;
                connection.stream.cancel();
            }
        });
    }
    ~read_limit() { state_->ended = true; }
    read_limit(const read_limit&) = delete;
    read_limit& operator=(const read_limit&) = delete;

    /// Translates the cancelled read of an expired limit to a timeout.
    void translate(error_code& problem) const
    {
        if (problem && state_->expired) {
            problem = make_error_code(beast::error::timeout);
        }
    }

private:
    struct shared_state {
        bool ended = false;
        bool expired = false;
    };

    asio::steady_timer timer_;
    std::shared_ptr<shared_state> state_;
};

/// Waits for the first byte of the next request. False if no further request is to be read.
asio::awaitable<bool> wait_for_request(worker& w, caller_connection& connection);

/// Reads a request's header.
asio::awaitable<void> read_request_header(const worker& w, caller_connection& connection,
                                          caller_parser& parser, error_code& problem);

/// Reads the first piece of the body; sets whether that is all of it.
asio::awaitable<void> read_body(caller_request& request, error_code& problem);

/// How long a caller may take for the next piece of a request's body: no longer than the request
/// has left, so that one that sends slowly does not hold a target's slot.
std::chrono::milliseconds time_for_body(const caller_request& request);

/// Closes towards the caller and waits for it to do the same.
asio::awaitable<void> linger(caller_connection& connection);

/// Whether the caller has just gone, without a mistake that could be answered.
bool is_plain_close(const error_code& problem);

/// What a request is refused with whose header or body could not be read.
result_code code_of_read_failure(const error_code& problem);

} // namespace almondquay
