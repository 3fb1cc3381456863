#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

/// Aliases for Boost.Asio and Boost.Beast, used only by the sources of the traffic threads.
namespace almondquay {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

/// Completion token that makes an asynchronous operation awaitable and stores its error in
/// `problem`.
inline auto redirect_error_to(error_code& problem)
{
    return asio::redirect_error(asio::use_awaitable, problem);
}

} // namespace almondquay
