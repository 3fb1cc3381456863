#pragma once

#include "common/endpoint.h"
#include "http/message.h"

#include <chrono>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace almondquay::http {

/// Called once with the response. Errors: peer_unreachable if nothing was sent, peer_answer_lost
/// if the request may have arrived.
using response_handler = std::function<void(result<response>)>;

/// Sends small requests over persistent connections. All calls and handlers run on the thread of
/// the io_context. After a timeout the connection is closed and a late response is discarded.
class client {
public:
    static std::unique_ptr<client> create(boost::asio::io_context& io);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    void send(const endpoint& to, request r, std::chrono::milliseconds timeout,
              response_handler handler);

    struct shared_state;

private:
    explicit client(std::shared_ptr<shared_state> state);

    std::shared_ptr<shared_state> state_;
};

} // namespace almondquay::http
