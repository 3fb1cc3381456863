#include "timeline/explain.h"
#include "timeline/ring.h"

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

decision make(const std::string& id, std::uint64_t ms, std::vector<std::string> causes = {})
{
    return {id,
            {ms, 0},
            "host",
            "kind",
            "the rule",
            "what was done",
            std::move(causes),
            {{"input", "7"}}};
}

} // namespace

class timeline_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(timeline_test);
    CPPUNIT_TEST(merges_in_causal_order_without_repeats);
    CPPUNIT_TEST(explains_a_decision_by_its_causes);
    CPPUNIT_TEST(survives_a_round_trip);
    CPPUNIT_TEST(ring_is_bounded_and_counts_what_it_drops);
    CPPUNIT_TEST_SUITE_END();

public:
    void merges_in_causal_order_without_repeats()
    {
        const auto merged = merge_timelines(
            {{make("b", 2), make("d", 4)}, {make("a", 1), make("b", 2), make("c", 3)}});
        std::string ids;
        for (const auto& d : merged) {
            ids += d.id;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"), ids);
    }

    void explains_a_decision_by_its_causes()
    {
        const auto merged = merge_timelines(
            {{make("a", 1), make("x", 2), make("b", 3, {"a"}), make("c", 4, {"b", "lost"})}});
        const auto chain = causal_chain(merged, "c");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, value_of(chain).size());
        const auto text = format_decision_chain(value_of(chain));
        CPPUNIT_ASSERT(text.find("rule: the rule") != std::string::npos);
        CPPUNIT_ASSERT(text.find("because of: b") != std::string::npos);
        CPPUNIT_ASSERT(code_of(causal_chain(merged, "nobody")) == result_code::decision_unknown);
        CPPUNIT_ASSERT_EQUAL(std::string("2026-03-11T02:14:07.120Z"),
                             format_time({1'773'195'247'120, 0}));
    }

    void survives_a_round_trip()
    {
        const std::vector<decision> decisions{make("a", 1), make("b", 2, {"a"})};
        CPPUNIT_ASSERT(value_of(decode_decisions(encode(decisions))) == decisions);
        CPPUNIT_ASSERT(code_of(decode_decisions("[1]")) == result_code::peer_message_malformed);
    }

    void ring_is_bounded_and_counts_what_it_drops()
    {
        timeline_ring ring;
        for (std::uint64_t i = 0; i < timeline_capacity + 5; ++i) {
            record(ring, make(std::to_string(i), i));
        }
        CPPUNIT_ASSERT_EQUAL(timeline_capacity, ring.decisions.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, ring.dropped);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             decisions_since(ring, {timeline_capacity + 2, 0}).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(timeline_test);

} // namespace almondquay
