#pragma once

#include "common/endpoint.h"
#include "http/message.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace almondquay::http {

/// Sends the response to one request; may be called later, but only once and on the same thread.
using responder = std::function<void(response)>;
using request_handler = std::function<void(const request&, responder)>;

/// Limits for each message, and for the number of open connections.
struct server_limits {
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 2UL * 1024 * 1024;
    std::size_t max_connections = 1'000;
};

/// Serves small, fully buffered requests, one at a time on each connection.
class server {
public:
    /// Listens on `at`. Errors: usage_error if the address cannot be bound.
    static result<std::unique_ptr<server>> create(boost::asio::io_context& io, const endpoint& at,
                                                  request_handler handler,
                                                  server_limits limits = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Stops accepting connections; requests in progress are still answered.
    void stop();

    struct shared_state;

private:
    explicit server(std::shared_ptr<shared_state> state);

    std::shared_ptr<shared_state> state_;
};

} // namespace almondquay::http
