#include "metrics/registry.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay::metrics {

class registry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(registry_test);
    CPPUNIT_TEST(latencies_are_counted_in_cumulative_buckets);
    CPPUNIT_TEST(series_are_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void latencies_are_counted_in_cumulative_buckets()
    {
        const auto all = registry::create();
        const series s{"request_seconds", "ledger", ""};
        all->observe(s, std::chrono::milliseconds(3));
        all->observe(s, std::chrono::milliseconds(300));
        all->observe(s, std::chrono::seconds(60));
        const auto text = all->expose();
        const auto has = [&](const std::string& line) {
            return text.find(line + "\n") != std::string::npos;
        };
        const std::string bucket = "almondquay_request_seconds_bucket{service=\"ledger\",le=\"";
        CPPUNIT_ASSERT(has(bucket + "0.005\"} 1"));
        CPPUNIT_ASSERT(has(bucket + "0.25\"} 1"));
        CPPUNIT_ASSERT(has(bucket + "0.5\"} 2"));
        CPPUNIT_ASSERT(has(bucket + "10\"} 2"));
        CPPUNIT_ASSERT(has(bucket + "+Inf\"} 3"));
        CPPUNIT_ASSERT(has("almondquay_request_seconds_count{service=\"ledger\"} 3"));
    }

    /// 1,400 routes with a dozen results each must not exhaust the memory of a small host.
    void series_are_bounded()
    {
        constexpr int routes = 1'400;
        constexpr std::ptrdiff_t most_lines = 500;
        const auto all = registry::create();
        for (int i = 0; i < routes; ++i) {
            all->add({"requests_total", "route-" + std::to_string(i), "ok"});
        }
        const auto text = all->expose();
        CPPUNIT_ASSERT(std::ranges::count(text, '\n') <= most_lines);
        CPPUNIT_ASSERT(text.find("{service=\"other\",result=\"other\"} 1000\n") !=
                       std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(registry_test);

} // namespace almondquay::metrics
