#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>

/// The requirements of HTTP on a response that the parser does not check.
namespace almondquay::http {

/// Checks the header of a response, final or interim. A message that fails is not a response at
/// all: nothing in it may be evaluated or passed on, and its connection must be closed. Errors:
/// bad_status.
boost::beast::error_code check_response(const boost::beast::http::response_header<>& head);

} // namespace almondquay::http
