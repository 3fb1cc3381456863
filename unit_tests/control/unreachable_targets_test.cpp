#include "control/store_world.h"
#include "control/target_health.h"
#include "control/unreachable_targets.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds warm_up{10};
/// Callers wait about this long for an answer; hosts that are notified later detect the failure by
/// requests of their own.
constexpr milliseconds known_within{500};
const target_id dead("t1");

/// 63 hosts in 9 failure domains of 3 regions.
store_world make_world()
{
    store_world_settings settings;
    settings.domains_per_region = 3;
    settings.hosts_per_domain = 7;
    store_world world(settings);
    for (const auto* name : {"t1", "t2", "t3", "t4"}) {
        world.put_target(name);
    }
    world.run_for(warm_up);
    return world;
}

bool is_of_region(const host_id& id, const std::string& region)
{
    return id.value.starts_with("edge-" + region);
}

/// Number of hosts of a region that exclude the target.
std::size_t hosts_without(const store_world& world, const target_id& target,
                          const std::string& region)
{
    const auto all = world.hosts();
    return static_cast<std::size_t>(std::ranges::count_if(all, [&](const host_id& id) {
        return is_of_region(id, region) && dead_targets(world.state_of(id)).contains(target);
    }));
}

std::size_t hosts_of(const store_world& world, const std::string& region)
{
    const auto all = world.hosts();
    return static_cast<std::size_t>(
        std::ranges::count_if(all, [&](const host_id& id) { return is_of_region(id, region); }));
}

} // namespace

class unreachable_targets_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unreachable_targets_test);
    CPPUNIT_TEST(one_refused_connection_is_known_in_the_region);
    CPPUNIT_TEST(an_exclusion_ends_after_a_fixed_time);
    CPPUNIT_TEST(reports_of_a_host_refused_by_most_targets_are_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against each host detecting a dead target by itself: 84 hosts detected the same dead
    /// targets by 635 failed requests of their own within two seconds.
    void one_refused_connection_is_known_in_the_region()
    {
        auto world = make_world();
        world.report_refused_connection(world.hosts().front(), dead);
        world.run_for(known_within);
        CPPUNIT_ASSERT_EQUAL(hosts_of(world, "r0"), hosts_without(world, dead, "r0"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts_without(world, dead, "r1"));
    }

    void an_exclusion_ends_after_a_fixed_time()
    {
        auto world = make_world();
        world.report_refused_connection(world.hosts().front(), dead);
        world.run_for(known_within);
        CPPUNIT_ASSERT(hosts_without(world, dead, "r0") != 0);
        world.run_for(unreachable_time + known_within);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts_without(world, dead, "r0"));
    }

    /// A host that most targets refuse must not make the others exclude these targets.
    void reports_of_a_host_refused_by_most_targets_are_ignored()
    {
        auto world = make_world();
        for (const auto* name : {"t1", "t2", "t3"}) {
            world.report_refused_connection(world.hosts().front(), target_id(name));
        }
        world.run_for(known_within);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts_without(world, dead, "r0"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unreachable_targets_test);

} // namespace almondquay
