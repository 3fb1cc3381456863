#include "traffic/message_framing.h"

#include <array>
#include <random>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

namespace http = beast::http;
using text_parser = http::request_parser<http::string_body>;

constexpr wire_profile profile{.request_id_header = "X-Id"};
const std::string inner = "POST /inner HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n";

/// Parses the first request of the text. Returns how many bytes it takes, or 0 if the parser
/// refuses them or needs more.
std::size_t parse(text_parser& parser, std::string_view text)
{
    parser.eager(true);
    error_code problem;
    const auto taken = parser.put(asio::buffer(text.data(), text.size()), problem);
    return problem || !parser.is_done() ? 0 : taken;
}

result_code framing_of(const std::string& fields)
{
    text_parser parser;
    error_code problem;
    const auto text = "POST /a HTTP/1.1\r\n" + fields + "\r\n";
    parser.put(asio::buffer(text), problem);
    // What the parser itself refuses is answered in the same way.
    return problem && problem != http::error::need_more ? result_code::request_malformed
                                                        : check_framing(parser.get());
}

/// The request as it is sent to a target.
std::string forwarded(const text_parser& parser, bool body_is_complete)
{
    const auto& request = parser.get();
    http::request<http::buffer_body> head;
    head.base() = request.base();
    remove_connection_fields(head, profile);
    head.version(11);
    const auto length = parser.content_length();
    auto size =
        body_size_of(request, length ? std::optional<std::uint64_t>(*length) : std::nullopt);
    if (body_is_complete && size.has_body) {
        size.bytes = request.body().size();
    }
    set_framing(head, size);
    std::ostringstream written;
    written << http::request<http::string_body>(std::move(head.base()), request.body());
    return written.str();
}

template <std::size_t n>
const std::string& one_of(const std::array<std::string, n>& all, std::mt19937& random)
{
    return all[random() % n];
}

std::string random_field(std::mt19937& random)
{
    static const std::array<std::string, 11> names{
        "Host",       "Content-Length", "content-length", "Transfer-Encoding",
        "Connection", "connection",     "Trailer",        "Expect",
        "X-Id",       "X-Other",        "Upgrade"};
    static const std::array<std::string, 24> values{"a",
                                                    "chunked",
                                                    "Chunked",
                                                    "gzip, chunked",
                                                    "chunked, gzip",
                                                    "identity",
                                                    "0",
                                                    "5",
                                                    "55",
                                                    "+5",
                                                    "5, 5",
                                                    "Content-Length",
                                                    "transfer-encoding",
                                                    "host, x-id",
                                                    "keep-alive",
                                                    "close",
                                                    "Transfer-Encoding, Content-Length",
                                                    "",
                                                    " chunked ",
                                                    "\tchunked",
                                                    "chunked;a=b",
                                                    "X-Other",
                                                    "a\r\n chunked",
                                                    "100-continue"};
    return one_of(names, random) + ":" + (random() % 2 == 0 ? " " : "") + one_of(values, random) +
           "\r\n";
}

std::string random_message(std::mt19937& random)
{
    std::string text = random() % 2 == 0 ? "POST /a HTTP/1.1\r\n" : "GET /a HTTP/1.1\r\n";
    if (random() % 8 != 0) {
        text += "Host: a\r\n";
    }
    for (auto fields = random() % 4; fields > 0; --fields) {
        text += random_field(random);
    }
    switch (random() % 4) {
    case 0:
        return text + "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner;
    case 1: {
        std::ostringstream size;
        size << std::hex << inner.size();
        return text + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + inner +
               "\r\n0\r\n\r\n";
    }
    default:
        return text + "\r\n" + inner;
    }
}

} // namespace

class message_framing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(message_framing_test);
    CPPUNIT_TEST(ambiguous_framing_is_refused);
    CPPUNIT_TEST(fields_of_the_message_stay);
    CPPUNIT_TEST(whatever_is_let_through_is_written_as_one_request);
    CPPUNIT_TEST(responses_are_framed_anew);
    CPPUNIT_TEST_SUITE_END();

public:
    void ambiguous_framing_is_refused()
    {
        struct shape {
            std::string fields;
            result_code expected = result_code::ok;
        };
        const auto bad = result_code::request_malformed;
        const auto unknown = result_code::transfer_coding_unknown;
        const std::vector<shape> shapes{
            {"Host: a\r\n"},
            {"Host: a\r\nContent-Length: 5\r\n"},
            {"Host: a\r\nTransfer-Encoding: Chunked\r\n"},
            {"Host: a\r\nHost: a\r\n", bad},
            {"Content-Length: 5\r\nContent-Length: 5\r\n", bad},
            {"Content-Length: 5\r\nContent-Length: 6\r\n", bad},
            {"Content-Length: +5\r\n", bad},
            {"Content-Length: 5, 5\r\n"}, // Written as one length (RFC 9112, 6.3).
            {"Content-Length: 5, 6\r\n", bad},
            {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", bad},
            {"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", bad},
            {"Transfer-Encoding: identity\r\n", bad},
            {"Transfer-Encoding: \r\n", bad},
            {"Transfer-Encoding: chunked, gzip\r\n", bad},
            {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", bad},
            {"Transfer-Encoding: chunked;a=b\r\n", bad},
            {"Transfer-Encoding: gzip, chunked\r\n", unknown},
            {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", unknown}};
        for (const auto& [fields, expected] : shapes) {
            CPPUNIT_ASSERT_MESSAGE(fields, framing_of(fields) == expected);
        }
    }

    void fields_of_the_message_stay()
    {
        http::fields head;
        head.insert("Connection", "Content-Length, X-ID, Host");
        head.insert("connection", "x-other, Transfer-Encoding, Cookie");
        for (const auto* name : {"Content-Length", "X-Id", "Host", "Cookie", "X-Other", "X-More"}) {
            head.insert(name, "5");
        }
        remove_connection_fields(head, profile);
        for (const auto* name : {"Content-Length", "X-Id", "Host", "Cookie", "X-More"}) {
            CPPUNIT_ASSERT_MESSAGE(name, head.count(name) == 1);
        }
        CPPUNIT_ASSERT(head.count("X-Other") == 0 && head.count("Connection") == 0);
    }

    /// Guards against a body that a target reads as a request of its own.
    void whatever_is_let_through_is_written_as_one_request()
    {
        constexpr int messages = 100'000;
        std::mt19937 random(11);
        int let_through = 0;
        for (int i = 0; i < messages; ++i) {
            const auto text = random_message(random);
            text_parser parser;
            if (parse(parser, text) == 0 || check_framing(parser.get()) != result_code::ok) {
                continue;
            }
            ++let_through;
            for (const bool body_is_complete : {true, false}) {
                const auto written = forwarded(parser, body_is_complete);
                text_parser again;
                const auto taken = parse(again, written);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text + "---\n" + written, written.size(), taken);
                CPPUNIT_ASSERT(again.get().method() == parser.get().method());
                CPPUNIT_ASSERT(again.get().target() == parser.get().target());
                CPPUNIT_ASSERT_EQUAL(parser.get().body(), again.get().body());
                CPPUNIT_ASSERT(again.get()[http::field::host] == parser.get()[http::field::host]);
                CPPUNIT_ASSERT(check_framing(again.get()) == result_code::ok);
            }
        }
        CPPUNIT_ASSERT(let_through > messages / 10);
    }

    void responses_are_framed_anew()
    {
        struct shape {
            std::string request;
            unsigned status = 0;
            std::optional<std::uint64_t> declared_bytes;
            std::string expected;
            bool ends_before_connection = true;
        };
        const std::string chunked = "Transfer-Encoding: chunked\r\n";
        const std::vector<shape> shapes{{"GET / HTTP/1.1", 200, 5, "Content-Length: 5\r\n"},
                                        {"GET / HTTP/1.1", 200, 0, "Content-Length: 0\r\n"},
                                        {"GET / HTTP/1.1", 200, {}, chunked},
                                        {"GET / HTTP/1.1", 503, {}, chunked},
                                        {"GET / HTTP/1.0", 200, 5, "Content-Length: 5\r\n"},
                                        {"GET / HTTP/1.0", 200, {}, "", false},
                                        {"GET / HTTP/1.0", 204, {}, ""},
                                        {"GET / HTTP/1.1", 204, 5, ""},
                                        {"GET / HTTP/1.1", 204, {}, ""},
                                        {"GET / HTTP/1.1", 304, 5, "Content-Length: 5\r\n"},
                                        {"GET / HTTP/1.1", 304, {}, ""},
                                        {"HEAD / HTTP/1.1", 200, 5, "Content-Length: 5\r\n"},
                                        {"HEAD / HTTP/1.1", 200, {}, ""},
                                        {"HEAD / HTTP/1.0", 200, {}, ""}};
        for (const auto& s : shapes) {
            text_parser request;
            CPPUNIT_ASSERT(parse(request, s.request + "\r\nHost: a\r\n\r\n") != 0);
            for (const auto* field : {"", "Transfer-Encoding", "Content-Length"}) {
                http::response<http::buffer_body> answer(http::int_to_status(s.status), 11);
                if (*field != '\0') {
                    answer.insert(field, *field == 'T' ? "chunked" : "5");
                    answer.insert(field, *field == 'T' ? "chunked" : "5");
                }
                const bool ends = set_framing(answer, request.get(), s.declared_bytes);
                std::ostringstream written;
                written << answer.base();
                const auto text = written.str();
                const auto fields = text.substr(text.find("\r\n") + 2);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(s.request + field, s.expected + "\r\n", fields);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(s.request + field, s.ends_before_connection, ends);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_framing_test);

} // namespace almondquay
