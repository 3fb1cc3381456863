#include "http/response_check.h"

#include <algorithm>
#include <string_view>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace almondquay::http {

namespace {

namespace beast = boost::beast;

/// The valid status codes (RFC 9110, 15).
constexpr unsigned lowest_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned highest_status = 599;
constexpr unsigned switching_protocols = 101; ///< never asked for
constexpr unsigned first_version_with_codings = 11;

/// Whether the body ends where the parser looks for its end. No other coding is ever asked for, so
/// none can be decoded, and the parser reads a body with unknown codings until the connection ends.
/// HTTP/1.0 has no codings: its framing is then faulty (RFC 9112, 6.1).
bool are_codings_known(const beast::http::response_header<>& head)
{
    const auto lines = head.count(beast::http::field::transfer_encoding);
    return lines == 0 || (lines == 1 && head.version() >= first_version_with_codings &&
                          beast::iequals(head[beast::http::field::transfer_encoding], "chunked"));
}

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
    if (status < lowest_status || status > highest_status || status == switching_protocols) {
        return beast::http::error::bad_status;
    }
    // A proxy may refuse folded lines (RFC 9112, 5.2). Joined, a line of which the name was damaged
    // would change the value before it, and would no longer frame the body.
    if (source.has_folded_line()) {
        return beast::http::error::bad_field;
    }
    if (!are_codings_known(head)) {
        return beast::http::error::bad_transfer_encoding;
    }
    return {};
}

bool is_interim(const beast::http::response_header<>& head)
{
    return head.result_int() < first_final_status;
}

} // namespace almondquay::http
