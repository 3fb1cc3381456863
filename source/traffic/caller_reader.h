#pragma once

#include "common/result_code.h"
#include "traffic/forward.h"
#include "traffic/worker.h"

/// Reads requests from a caller's connection within limits of size and time.
namespace almondquay {

/// Waits for the first byte of the next request. False if no further request is to be read.
asio::awaitable<bool> wait_for_request(worker& w, caller_connection& connection);

/// Reads a request's header.
asio::awaitable<void> read_request_header(const worker& w, caller_connection& connection,
                                          caller_parser& parser, error_code& problem);

/// Reads the first piece of the body; sets whether that is all of it.
asio::awaitable<void> read_body(caller_request& request, error_code& problem);

/// Closes towards the caller and waits for it to do the same.
asio::awaitable<void> linger(caller_connection& connection);

/// Whether the caller has just gone, without a mistake that could be answered.
bool is_plain_close(const error_code& problem);

/// What a request is refused with whose header or body could not be read.
result_code code_of_read_failure(const error_code& problem);

} // namespace almondquay
