#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace almondquay::http {

/// The longest name or value of a field that the library can store. For a longer one it throws
/// std::length_error out of the completion handler of the read.
constexpr std::size_t max_field_bytes = std::numeric_limits<std::uint16_t>::max() - 2;

/// A parser whose header limit also holds for the fields behind a body in chunks, and to which a
/// field that cannot be stored is an error. Both are reported as header_limit.
template <bool is_request, class Body>
class message_parser : public boost::beast::http::parser<is_request, Body> {
public:
    void header_limit(std::uint32_t bytes)
    {
        boost::beast::http::parser<is_request, Body>::header_limit(bytes);
        trailer_bytes_left_ = bytes;
    }

private:
    static constexpr std::uint32_t default_header_limit = 8 * 1024; ///< that of the library
    static constexpr std::size_t separator_bytes = 4;               ///< colon, blank and line end

    void on_field_impl(boost::beast::http::field name, boost::beast::string_view name_text,
                       boost::beast::string_view value, boost::beast::error_code& problem) override
    {
        const auto bytes = name_text.size() + value.size() + separator_bytes;
        const bool is_trailer = this->is_header_done();
        const bool is_storable = std::max(name_text.size(), value.size()) <= max_field_bytes;
        if (!is_storable || (is_trailer && bytes > trailer_bytes_left_)) {
            problem = boost::beast::http::error::header_limit;
            return;
        }
        if (is_trailer) {
            trailer_bytes_left_ -= bytes;
        }
        this->get().insert(name, name_text, value);
    }

    std::size_t trailer_bytes_left_ = default_header_limit;
};

template <class Body> using request_parser = message_parser<true, Body>;
template <class Body> using response_parser = message_parser<false, Body>;

} // namespace almondquay::http
