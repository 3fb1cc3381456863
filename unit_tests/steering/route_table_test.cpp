#include "steering/route_table.h"

#include <map>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

route_rule make_rule(const std::string& name, const std::string& host, const std::string& prefix)
{
    route_rule rule;
    rule.id.value = name;
    rule.host = host;
    rule.path_prefix = prefix;
    return rule;
}

} // namespace

class route_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(the_longest_prefix_decides);
    CPPUNIT_TEST(hosts_are_compared_without_case_and_port);
    CPPUNIT_TEST(query_is_ignored_in_route_matching);
    CPPUNIT_TEST(a_changed_table_shares_what_did_not_change);
    CPPUNIT_TEST(parts_are_distributed_by_weight);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_longest_prefix_decides()
    {
        const auto table = make_route_table({make_rule("short", "a.example", "/x/"),
                                             make_rule("long", "a.example", "/x/y/"),
                                             make_rule("other", "b.example", "/x/y/z/")});
        CPPUNIT_ASSERT_EQUAL(std::string("long"),
                             find_rule(*table, "a.example", "/x/y/z/1")->id.value);
        CPPUNIT_ASSERT_EQUAL(std::string("short"),
                             find_rule(*table, "a.example", "/x/yy")->id.value);
        CPPUNIT_ASSERT(find_rule(*table, "a.example", "/x") == nullptr);
        CPPUNIT_ASSERT(find_rule(*table, "c.example", "/x/") == nullptr);
    }

    void hosts_are_compared_without_case_and_port()
    {
        const auto table = make_route_table({make_rule("r", "A.Example", "/")});
        CPPUNIT_ASSERT(find_rule(*table, "a.eXample:8080", "/") != nullptr);
    }

    void query_is_ignored_in_route_matching()
    {
        const auto table = make_route_table({make_rule("r", "a", "/x/y/")});
        CPPUNIT_ASSERT(find_rule(*table, "a", "/x?/x/y/") == nullptr);
        CPPUNIT_ASSERT(find_rule(*table, "a", "/x/y/?q") != nullptr);
    }

    void a_changed_table_shares_what_did_not_change()
    {
        const auto before = make_route_table({make_rule("a", "a.example", "/x/"),
                                              make_rule("b", "a.example", "/y/"),
                                              make_rule("c", "c.example", "/")});
        const auto after =
            update_route_table(*before, {make_rule("a", "a.example", "/x/")},
                               {make_rule("a", "A.example", "/x/z/"), make_rule("d", "d", "/")});
        CPPUNIT_ASSERT(find_rule(*after, "a.example", "/x/1") == nullptr);
        CPPUNIT_ASSERT(find_rule(*after, "a.example", "/x/z/1") != nullptr);
        CPPUNIT_ASSERT(find_rule(*after, "d", "/1") != nullptr);
        CPPUNIT_ASSERT(find_rule(*before, "a.example", "/x/1") != nullptr);
        CPPUNIT_ASSERT(find_rule(*after, "a.example", "/y/") ==
                       find_rule(*before, "a.example", "/y/"));
        CPPUNIT_ASSERT(after->by_host.at("c.example") == before->by_host.at("c.example"));
        const auto emptied = update_route_table(*after, {make_rule("d", "d", "/")}, {});
        CPPUNIT_ASSERT(!emptied->by_host.contains("d"));
    }

    void parts_are_distributed_by_weight()
    {
        route_rule rule;
        rule.parts = {{service_id("a"), 90}, {service_id("b"), 10}, {service_id("c"), 0}};
        std::mt19937_64 random(1);
        std::map<std::string, int> counts;
        constexpr int requests = 10'000;
        for (int i = 0; i < requests; ++i) {
            ++counts[choose_service(rule, random)];
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, counts["a"] / double{requests}, 0.02);
        CPPUNIT_ASSERT_EQUAL(0, counts["c"]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace almondquay
