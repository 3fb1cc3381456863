#include "traffic/target_statements.h"

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr clock::time_point start{std::chrono::seconds(100)};
const target_id target_name("t");

stated_values with_limit(double limit)
{
    stated_values values;
    values.limit = limit;
    return values;
}

std::optional<double> limit_of(const statement_board& board, std::uint64_t life)
{
    target_route route;
    route.id = target_name;
    route.life = incarnation(life);
    const auto table = board.current();
    const auto* statement = find_statement(*table, route);
    return statement == nullptr ? std::nullopt : statement->limit;
}

} // namespace

class target_statements_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_statements_test);
    CPPUNIT_TEST(limits_are_decimal_numbers);
    CPPUNIT_TEST(a_limit_holds_until_a_later_response_lacks_it);
    CPPUNIT_TEST(a_malformed_header_changes_nothing);
    CPPUNIT_TEST(a_limit_belongs_to_one_incarnation);
    CPPUNIT_TEST(pauses_are_seconds);
    CPPUNIT_TEST(leaving_holds_until_the_next_incarnation);
    CPPUNIT_TEST(the_longest_pause_holds);
    CPPUNIT_TEST(statements_of_unlisted_targets_are_kept_for_a_while);
    CPPUNIT_TEST_SUITE_END();

public:
    void limits_are_decimal_numbers()
    {
        CPPUNIT_ASSERT(parse_limit("1.8") == 1.8);
        CPPUNIT_ASSERT(parse_limit(" 20 ") == 20.0);
        CPPUNIT_ASSERT(parse_limit("0") == 0.0);
        CPPUNIT_ASSERT(parse_limit("99999999999999999999") == highest_limit);
        for (const auto* text : {"", " ", "-1", "-0.1", "nan", "inf", "-inf", "1e9", "1,5", "1.5x",
                                 "x1", "+2", "1 2"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parse_limit(text));
        }
    }

    /// Responses on different connections overtake each other.
    void a_limit_holds_until_a_later_response_lacks_it()
    {
        const auto board = statement_board::create();
        const incarnation life(1);
        CPPUNIT_ASSERT(!board->note(target_name, life, {}, start, start));
        const auto named_at = start + milliseconds(100);
        CPPUNIT_ASSERT(board->note(target_name, life, with_limit(2), start, named_at));
        CPPUNIT_ASSERT(!board->note(target_name, life, with_limit(2), start, named_at));
        CPPUNIT_ASSERT(board->note(target_name, life, with_limit(3), start, named_at));
        const auto late = start + milliseconds(300);
        CPPUNIT_ASSERT(!board->note(target_name, life, {}, named_at - milliseconds(1), late));
        CPPUNIT_ASSERT(limit_of(*board, 1) == 3.0);
        CPPUNIT_ASSERT(board->note(target_name, life, {}, named_at + milliseconds(1), late));
        CPPUNIT_ASSERT(!limit_of(*board, 1));
    }

    void a_malformed_header_changes_nothing()
    {
        const auto board = statement_board::create();
        const incarnation life(1);
        board->note(target_name, life, with_limit(2), start, start);
        stated_values malformed;
        malformed.malformed = "limit";
        board->note(target_name, life, malformed, start + milliseconds(1), start);
        CPPUNIT_ASSERT(limit_of(*board, 1) == 2.0);
        const auto other = statement_board::create();
        other->note(target_name, life, malformed, start, start);
        CPPUNIT_ASSERT(!limit_of(*other, 1));
    }

    void a_limit_belongs_to_one_incarnation()
    {
        const auto board = statement_board::create();
        board->note(target_name, incarnation(1), with_limit(2), start, start);
        CPPUNIT_ASSERT(!limit_of(*board, 2));
        board->note(target_name, incarnation(2), with_limit(5), start, start);
        board->note(target_name, incarnation(1), with_limit(1), start, start);
        CPPUNIT_ASSERT(limit_of(*board, 2) == 5.0);
        CPPUNIT_ASSERT(!limit_of(*board, 1));
    }

    void statements_of_unlisted_targets_are_kept_for_a_while()
    {
        const auto board = statement_board::create();
        board->note(target_name, incarnation(1), with_limit(2), start, start);
        const boost::intrusive_ptr<routing_snapshot> snapshot(new routing_snapshot);
        board->apply(*snapshot, start + std::chrono::minutes(1));
        CPPUNIT_ASSERT(limit_of(*board, 1) == 2.0);
        board->apply(*snapshot, start + std::chrono::hours(1));
        CPPUNIT_ASSERT(board->current()->targets.empty());
        board->note(target_name, incarnation(1), with_limit(2), start, start);
        target_route replaced;
        replaced.id = target_name;
        replaced.life = incarnation(2);
        snapshot->services["s"].targets.push_back(replaced);
        board->apply(*snapshot, start + milliseconds(1));
        CPPUNIT_ASSERT(board->current()->targets.empty());
    }

    void pauses_are_seconds()
    {
        CPPUNIT_ASSERT(parse_pause("1.5") == milliseconds(1'500));
        CPPUNIT_ASSERT(parse_pause("0") == milliseconds(0));
        CPPUNIT_ASSERT(parse_pause("1e9") == std::nullopt);
        CPPUNIT_ASSERT(parse_pause("99999999999") == milliseconds(longest_pause));
        for (const auto* text : {"", "-2", "soon", "Fri, 04 Dec 2026 23:37:00 GMT", "1;2"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parse_pause(text));
        }
    }

    void leaving_holds_until_the_next_incarnation()
    {
        const auto board = statement_board::create();
        stated_values leaving;
        leaving.is_leaving = true;
        CPPUNIT_ASSERT(board->note(target_name, incarnation(1), leaving, start, start));
        const auto later = start + std::chrono::seconds(9);
        CPPUNIT_ASSERT(!board->note(target_name, incarnation(1), {}, later, later));
        CPPUNIT_ASSERT(board->current()->targets.at(target_name).is_leaving);
        board->note(target_name, incarnation(2), with_limit(2), later, later);
        CPPUNIT_ASSERT(!board->current()->targets.at(target_name).is_leaving);
    }

    void the_longest_pause_holds()
    {
        const auto board = statement_board::create();
        stated_values refusal;
        refusal.pause = milliseconds(3'000);
        CPPUNIT_ASSERT(board->note(target_name, incarnation(1), refusal, start, start));
        refusal.pause = milliseconds(500);
        const auto later = start + milliseconds(100);
        CPPUNIT_ASSERT(!board->note(target_name, incarnation(1), refusal, start, later));
        const auto until = board->current()->targets.at(target_name).paused_until;
        CPPUNIT_ASSERT(until == start + milliseconds(3'000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_statements_test);

} // namespace almondquay
