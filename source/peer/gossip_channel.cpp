#include "peer/gossip_channel.h"

#include <array>

#include <boost/asio/ip/udp.hpp>

namespace almondquay {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;
using error_code = boost::system::error_code;

constexpr std::size_t receive_buffer_bytes = 2'048;

} // namespace

struct gossip_channel::shared_state {
    shared_state(asio::io_context& io, shared_secret s, gossip_handler h)
        : socket(io), secret(std::move(s)), handler(std::move(h))
    {
    }

    udp::socket socket;
    shared_secret secret;
    gossip_handler handler;
    udp::endpoint sender;
    std::array<char, receive_buffer_bytes> buffer{};
    std::uint64_t bytes_sent = 0;
};

namespace {

void receive_next(const std::shared_ptr<gossip_channel::shared_state>& state)
{
    state->socket.async_receive_from(
        asio::buffer(state->buffer), state->sender,
        [state](const error_code& problem, std::size_t size) {
            if (problem == asio::error::operation_aborted) {
                return;
            }
            if (!problem) {
                auto message = decode_gossip({state->buffer.data(), size}, state->secret);
                if (succeeded(message) && value_of(message).reply_address.port == 0) {
                    // Hosts send from the address at which they receive.
                    value_of(message).reply_address = {state->sender.address().to_string(),
                                                       state->sender.port()};
                }
                state->handler(std::move(message));
            }
            receive_next(state);
        });
}

} // namespace

result<std::unique_ptr<gossip_channel>> gossip_channel::create(asio::io_context& io,
                                                               const endpoint& at,
                                                               shared_secret secret,
                                                               gossip_handler handler)
{
    auto state = std::make_shared<shared_state>(io, std::move(secret), std::move(handler));
    try {
        const udp::endpoint address(asio::ip::make_address(at.address), at.port);
        state->socket.open(address.protocol());
        state->socket.bind(address);
        state->socket.non_blocking(true);
    } catch (const boost::system::system_error& problem) {
        return error{result_code::usage_error, to_string(at) + ": " + problem.what()};
    }
    receive_next(state);
    return std::unique_ptr<gossip_channel>(new gossip_channel(std::move(state)));
}

gossip_channel::gossip_channel(std::shared_ptr<shared_state> state) : state_(std::move(state)) {}

gossip_channel::~gossip_channel()
{
    error_code ignored;
    state_->socket.close(ignored);
}

void gossip_channel::send(const endpoint& to, const gossip_message& message)
{
    const auto datagram = encode(message, state_->secret);
    const udp::endpoint address(asio::ip::make_address(to.address), to.port);
    error_code lost; // A failed send is treated like a datagram lost on the network.
    state_->socket.send_to(asio::buffer(datagram), address, 0, lost);
    state_->bytes_sent += datagram.size();
}

std::uint64_t gossip_channel::bytes_sent() const
{
    return state_->bytes_sent;
}

} // namespace almondquay
