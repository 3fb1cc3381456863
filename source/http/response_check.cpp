#include "http/response_check.h"

#include <boost/beast/http/error.hpp>

namespace almondquay::http {

namespace {

namespace beast = boost::beast;

/// The valid status codes (RFC 9110, 15).
constexpr unsigned lowest_status = 100;
constexpr unsigned highest_status = 599;

} // namespace

beast::error_code check_response(const beast::http::response_header<>& head)
{
    const auto status = head.result_int();
    if (status < lowest_status || status > highest_status) {
        return beast::http::error::bad_status;
    }
    return {};
}

} // namespace almondquay::http
