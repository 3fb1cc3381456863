#include "http/response_check.h"

#include <algorithm>
#include <string_view>

#include <boost/beast/http/error.hpp>

namespace almondquay::http {

namespace {

namespace beast = boost::beast;

/// The valid status codes (RFC 9110, 15).
constexpr unsigned lowest_status = 100;
constexpr unsigned highest_status = 599;

} // namespace

void response_header_buffer::consume(std::size_t n)
{
    // The parser consumes whole fields, with all the lines that it joins to them.
    const auto bytes = bytes_->data();
    const std::string_view lines(static_cast<const char*>(bytes.data()), std::min(n, bytes.size()));
    has_folded_line_ = has_folded_line_ || lines.find("\n ") != std::string_view::npos ||
                       lines.find("\n\t") != std::string_view::npos;
    bytes_->consume(n);
}

beast::error_code check_response(const beast::http::response_header<>& head,
                                 const response_header_buffer& source)
{
    const auto status = head.result_int();
    if (status < lowest_status || status > highest_status) {
        return beast::http::error::bad_status;
    }
    // A proxy may refuse folded lines (RFC 9112, 5.2). Joined, a line of which the name was damaged
    // would change the value before it, and would no longer frame the body.
    if (source.has_folded_line()) {
        return beast::http::error::bad_field;
    }
    return {};
}

} // namespace almondquay::http
