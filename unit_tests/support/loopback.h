#pragma once

#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace almondquay {

/// A port of this machine that is free.
inline std::uint16_t free_port()
{
    using tcp = boost::asio::ip::tcp;
    boost::asio::io_context io;
    return tcp::acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
}

} // namespace almondquay
