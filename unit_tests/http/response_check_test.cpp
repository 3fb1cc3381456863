#include "http/response_check.h"

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay::http {

namespace {

namespace beast = boost::beast;
using header_parser = beast::http::response_parser<beast::http::empty_body>;

/// Parses as much of what has arrived as the parser takes.
beast::error_code parse_more(header_parser& parser, response_header_buffer& source,
                             std::string_view arrived)
{
    source.commit(
        boost::asio::buffer_copy(source.prepare(arrived.size()), boost::asio::buffer(arrived)));
    beast::error_code problem;
    source.consume(parser.put(source.data(), problem));
    return problem;
}

/// The result for a header that arrives in two pieces.
beast::error_code checked(std::string_view header, std::size_t first_piece)
{
    beast::flat_buffer bytes;
    response_header_buffer source(bytes);
    header_parser parser;
    auto problem = parse_more(parser, source, header.substr(0, first_piece));
    if (problem == beast::http::error::need_more) {
        problem = parse_more(parser, source, header.substr(first_piece));
    }
    return problem ? problem : check_response(parser.get(), source);
}

} // namespace

class response_check_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(response_check_test);
    CPPUNIT_TEST(a_folded_line_is_refused_wherever_the_header_is_split);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_folded_line_is_refused_wherever_the_header_is_split()
    {
        const std::string folded =
            "HTTP/1.1 204 No Content\r\nX-One: 1\r\nX-Two: 2\r\n\tX-Three: 3\r\nX-Four: 4\r\n\r\n";
        const std::string plain =
            "HTTP/1.1 204 No Content\r\nX-One: 1\r\nX-Two: 2\r\nX-Three: 3\r\nX-Four: \t 4\r\n\r\n";
        for (std::size_t at = 0; at < folded.size(); ++at) {
            CPPUNIT_ASSERT(checked(folded, at) == beast::http::error::bad_field);
        }
        for (std::size_t at = 0; at < plain.size(); ++at) {
            CPPUNIT_ASSERT(!checked(plain, at));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_check_test);

} // namespace almondquay::http
