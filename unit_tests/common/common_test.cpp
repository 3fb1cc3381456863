#include "common/authentication.h"
#include "common/endpoint.h"
#include "common/hybrid_clock.h"
#include "common/result.h"

#include <fstream>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

class common_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(common_test);
    CPPUNIT_TEST(documented_result_codes_match_the_table);
    CPPUNIT_TEST(endpoints_require_ipv4_addresses);
    CPPUNIT_TEST(hybrid_time_never_goes_back);
    CPPUNIT_TEST(hybrid_time_ignores_broken_clocks);
    CPPUNIT_TEST(signatures_bind_message_and_secret);
    CPPUNIT_TEST_SUITE_END();

public:
    void documented_result_codes_match_the_table()
    {
        std::ifstream page(PROJECT_ROOT "/docs/RESULT_CODES.md");
        std::ostringstream text;
        text << page.rdbuf();
        std::size_t rows = 0;
        for (const auto& row : result_code_table()) {
            const auto line = "| " + std::to_string(static_cast<int>(row.code)) + " | `" +
                              std::string(row.name) + "` | " + std::string(row.meaning) + " |";
            CPPUNIT_ASSERT_MESSAGE(line, text.str().find(line) != std::string::npos);
            ++rows;
        }
        std::size_t documented = 0;
        for (auto at = text.str().find("| `"); at != std::string::npos;
             at = text.str().find("| `", at + 1)) {
            ++documented;
        }
        CPPUNIT_ASSERT_EQUAL(rows, documented);
    }

    void endpoints_require_ipv4_addresses()
    {
        CPPUNIT_ASSERT(value_of(parse_endpoint("127.0.1.2:7000")) == (endpoint{"127.0.1.2", 7000}));
        for (const auto* bad : {"", "127.0.1.2", "127.0.1.2:0", "127.0.1.2:65536", "host:80",
                                "127.0.1:80", "127.0.1.2:80x"}) {
            CPPUNIT_ASSERT(code_of(parse_endpoint(bad)) == result_code::bad_value);
        }
    }

    void hybrid_time_never_goes_back()
    {
        const wall_time now(std::chrono::milliseconds(1'000));
        const auto first = advance({}, now);
        const auto second = advance(first, now);
        const auto third = advance(second, now - std::chrono::milliseconds(500));
        CPPUNIT_ASSERT(first < second && second < third);
        const auto received = advance(third, {2'000, 5}, now);
        CPPUNIT_ASSERT(received == (hybrid_time{2'000, 6}));
    }

    void hybrid_time_ignores_broken_clocks()
    {
        const wall_time now(std::chrono::milliseconds(1'000));
        const auto time = advance({}, {10'000'000, 0}, now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1'000}, time.wall_ms);
    }

    void signatures_bind_message_and_secret()
    {
        const shared_secret secret{"a secret of some length"};
        const auto signature = sign(secret, "message");
        CPPUNIT_ASSERT(verify_signature(secret, "message", signature));
        CPPUNIT_ASSERT(!verify_signature(secret, "massage", signature));
        CPPUNIT_ASSERT(!verify_signature({"another secret of length"}, "message", signature));
        CPPUNIT_ASSERT(!verify_signature(secret, "message", ""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(common_test);

} // namespace almondquay
