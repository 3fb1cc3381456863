#include "control/store_world.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds warm_up{8};
constexpr std::uint64_t first_generation = 5'000;
constexpr std::size_t routes = 1'400;
/// 10 Mbit/s, the slowest link of an entry host.
constexpr double slow_link = 10e6 / 8;
/// What a host may send for control, at one change a second.
constexpr std::size_t control_bytes_per_second = 2'000;

/// 63 hosts in three regions with a configuration of `count` routes in force.
store_world make_world(std::size_t count, double loss, std::uint64_t seed)
{
    store_world_settings settings{3, 3, 7, loss, seed, milliseconds(3'000), slow_link};
    store_world world(settings);
    world.run_for(warm_up);
    world.put_routes(first_generation, count);
    world.run_for(warm_up);
    return world;
}

/// Number of hosts on which an older generation is in force.
std::size_t hosts_behind(const store_world& world, std::uint64_t number)
{
    return static_cast<std::size_t>(std::ranges::count_if(world.hosts(), [&](const host_id& id) {
        const auto& envelope = world.state_of(id).fleet.envelope;
        return !envelope || envelope->number.value < number;
    }));
}

/// Makes changes of one route each, 334 ms apart, and returns how many times a host did not have
/// one of them in force 3 s later.
std::size_t late_changes(store_world& world, std::size_t count)
{
    constexpr std::uint64_t changes = 20;
    constexpr std::uint64_t changes_in_bound = 9; // 3 s at 334 ms each
    std::size_t late = 0;
    for (std::uint64_t i = 1; i < changes + changes_in_bound; ++i) {
        if (i <= changes) {
            world.put_routes(first_generation + i, count);
        }
        world.run_for(milliseconds(334));
        if (i >= changes_in_bound) {
            late += hosts_behind(world, first_generation + i - changes_in_bound + 1);
        }
    }
    return late;
}

} // namespace

class large_configuration_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(large_configuration_test);
    CPPUNIT_TEST(quick_changes_are_in_force_in_time_over_slow_links);
    CPPUNIT_TEST(a_change_of_one_route_costs_what_the_route_costs);
    CPPUNIT_TEST_SUITE_END();

public:
    void quick_changes_are_in_force_in_time_over_slow_links()
    {
        for (const auto loss : {0.0, 0.05}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                auto world = make_world(routes, loss, seed);
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts_behind(world, first_generation));
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late_changes(world, routes));
            }
        }
    }

    void a_change_of_one_route_costs_what_the_route_costs()
    {
        for (const std::size_t count : {std::size_t{100}, routes}) {
            auto world = make_world(count, 0, 1);
            const auto before = world.copied_bytes();
            world.put_routes(first_generation + 1, count);
            world.run_for(seconds(1));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts_behind(world, first_generation + 1));
            const auto bytes = (world.copied_bytes() - before) / world.hosts().size();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " routes: " + std::to_string(bytes) +
                                       " bytes a host",
                                   bytes <= control_bytes_per_second);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(large_configuration_test);

} // namespace almondquay
