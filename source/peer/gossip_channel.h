#pragma once

#include "common/endpoint.h"
#include "peer/gossip_message.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace almondquay {

using gossip_handler = std::function<void(result<gossip_message>)>;

/// Sends and receives gossip over UDP. Messages may be lost, duplicated or delayed.
class gossip_channel {
public:
    /// Errors: usage_error if the address cannot be bound.
    static result<std::unique_ptr<gossip_channel>> create(boost::asio::io_context& io,
                                                          const endpoint& at, shared_secret secret,
                                                          gossip_handler handler);
    ~gossip_channel();
    gossip_channel(const gossip_channel&) = delete;
    gossip_channel& operator=(const gossip_channel&) = delete;

    void send(const endpoint& to, const gossip_message& message);

    /// Payload bytes sent since the start.
    std::uint64_t bytes_sent() const;

    struct shared_state;

private:
    explicit gossip_channel(std::shared_ptr<shared_state> state);

    std::shared_ptr<shared_state> state_;
};

} // namespace almondquay
