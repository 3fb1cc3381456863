#pragma once

#include "common/result_code.h"
#include "traffic/forward.h"
#include "traffic/worker.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>

/// Reads requests from a caller's connection within limits of size and time.
namespace almondquay {

/// Cancels a read from the caller after a timeout. Unlike the timeout of the stream itself, it
/// leaves the connection open so that an error response can be sent.
class read_timeout {
public:
    read_timeout(caller_connection& connection, std::chrono::milliseconds limit)
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
    ~read_timeout() { state_->ended = true; }
    read_timeout(const read_timeout&) = delete;
    read_timeout& operator=(const read_timeout&) = delete;

    /// Turns the error of a read that was cancelled by the timeout into a timeout error.
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

/// Waits for the first byte of the next request. Returns false if no further request is to be read.
asio::awaitable<bool> wait_for_request(worker& w, caller_connection& connection);

/// Reads a request's header.
asio::awaitable<void> read_request_header(const worker& w, caller_connection& connection,
                                          caller_parser& parser, error_code& problem);

/// Reads the first piece of the body into the request and sets `body_is_complete`.
asio::awaitable<void> read_body(caller_request& request, error_code& problem);

/// Timeout for the next piece of a request's body: at most the time left until the request's
/// deadline, so that a slow caller does not occupy a target's slot beyond it.
std::chrono::milliseconds body_read_timeout(const caller_request& request);

/// Shuts down the sending side and waits until the caller closes the connection.
asio::awaitable<void> linger(caller_connection& connection);

/// Whether a read failed because the caller closed the connection, rather than because of a
/// malformed request that can be answered with an error.
bool is_disconnect(const error_code& problem);

/// The result code for a request whose header or body could not be read.
result_code code_of_read_failure(const error_code& problem);

} // namespace almondquay
