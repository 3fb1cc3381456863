#pragma once

#include <cstddef>

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>

/// The requirements of HTTP on a response that the parser does not check.
namespace almondquay::http {

/// The dynamic buffer from which a parser reads the header of one response. The parser joins folded
/// lines without reporting it, so this records whether it consumed any.
class response_header_buffer {
public:
    using const_buffers_type = boost::beast::flat_buffer::const_buffers_type;
    using mutable_buffers_type = boost::beast::flat_buffer::mutable_buffers_type;

    explicit response_header_buffer(boost::beast::flat_buffer& bytes) : bytes_(&bytes) {}

    std::size_t size() const { return bytes_->size(); }
    std::size_t max_size() const { return bytes_->max_size(); }
    std::size_t capacity() const { return bytes_->capacity(); }
    const_buffers_type data() const { return bytes_->data(); }
    mutable_buffers_type prepare(std::size_t n) { return bytes_->prepare(n); }
    void commit(std::size_t n) { bytes_->commit(n); }
    void consume(std::size_t n);

    bool has_folded_line() const { return has_folded_line_; }

private:
    boost::beast::flat_buffer* bytes_;
    bool has_folded_line_ = false;
};

/// Checks the header of a response, final or interim, that was read from `source`. A message that
/// fails is not a response at all: nothing in it may be evaluated or passed on, and its connection
/// must be closed. Errors: bad_status, bad_field, bad_transfer_encoding.
boost::beast::error_code check_response(const boost::beast::http::response_header<>& head,
                                        const response_header_buffer& source);

/// Whether a final response follows (RFC 9110, 15.2).
bool is_interim(const boost::beast::http::response_header<>& head);

} // namespace almondquay::http
