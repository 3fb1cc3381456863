#pragma once

#include "http/message_parser.h"
#include "http/response_check.h"

#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace almondquay::http {

/// Maximum number of interim (1xx) responses before the final one; with more of them the response
/// counts as malformed.
constexpr unsigned max_interim_responses = 16;

/// Reads the header of the final response and checks it. A few interim responses before it are
/// checked and dropped. `parser` is created for each of them and then passed to `configure`.
template <class Body, class Configure>
boost::asio::awaitable<void>
read_response_header(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                     std::optional<response_parser<Body>>& parser, Configure configure,
                     boost::beast::error_code& problem)
{
    for (unsigned interim = 0; interim <= max_interim_responses; ++interim) {
        configure(parser.emplace());
        response_header_buffer header(buffer);
        co_await boost::beast::http::async_read_header(
            stream, header, *parser,
            boost::asio::redirect_error(boost::asio::use_awaitable, problem));
        if (!problem) {
            problem = check_response(parser->get(), header);
        }
        if (problem || !is_interim(parser->get())) {
            co_return;
        }
    }
    problem = boost::beast::http::error::header_limit;
}

} // namespace almondquay::http
