#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

/// Short names for the HTTP library, used only by the traffic threads' sources.
namespace almondquay {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

/// Makes an operation awaitable and puts its failure into `problem`.
inline auto into(error_code& problem)
{
    return asio::redirect_error(asio::use_awaitable, problem);
}

} // namespace almondquay
