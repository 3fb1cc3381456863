#include "control/probing.h"
#include "control/store_world.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds warm_up{10};
constexpr milliseconds known_at_home_within{3'000};
constexpr milliseconds known_elsewhere_within{8'000};

const failure_domain_id& domain_of(const store_world& world, const host_id& id)
{
    return world.state_of(id).self.domain;
}

/// Whether host `at` considers host `who` alive.
bool considers_alive(const store_world& world, const host_id& at, const host_id& who)
{
    const auto& members = world.state_of(at).membership.members;
    const auto found = members.find(who);
    return found != members.end() && found->second.alive;
}

/// The number of live hosts that consider `who` alive, in its failure domain or elsewhere.
std::size_t hosts_considering_alive(const store_world& world, const host_id& who, bool at_home)
{
    const auto all = world.hosts();
    return static_cast<std::size_t>(std::ranges::count_if(all, [&](const host_id& at) {
        const bool is_home = domain_of(world, at) == domain_of(world, who);
        return at != who && !world.has_fault(at) && is_home == at_home &&
               considers_alive(world, at, who);
    }));
}

/// The number of pairs of healthy hosts of which one considers the other dead.
std::size_t false_deaths(const store_world& world)
{
    std::size_t count = 0;
    for (const auto& at : world.hosts()) {
        for (const auto& [id, m] : world.state_of(at).membership.members) {
            const bool is_false = !m.alive && !world.has_fault(id) && !world.has_fault(at);
            count += is_false ? 1 : 0;
        }
    }
    return count;
}

void check_death_detection(std::size_t domains_per_region, std::size_t hosts_per_domain,
                           double loss)
{
    store_world world({3, domains_per_region, hosts_per_domain, loss, 11, milliseconds(3'000)});
    world.run_for(warm_up);
    const auto dead = world.hosts().at(hosts_per_domain / 2);
    world.set_fault(dead, host_fault::dead);
    world.run_for(known_at_home_within);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts_considering_alive(world, dead, true));
    world.run_for(known_elsewhere_within - known_at_home_within);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts_considering_alive(world, dead, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, false_deaths(world));
}

/// Kills all hosts for which `dies` holds. No look-up answer of a live host may name one of them
/// later than a caller may rely on it.
void check_mass_death(const store_world_settings& settings,
                      const std::function<bool(const control_state&)>& dies)
{
    constexpr milliseconds named_for{6'000};
    store_world world(settings);
    world.run_for(warm_up);
    std::vector<host_id> dead;
    for (const auto& id : world.hosts()) {
        if (dies(world.state_of(id))) {
            dead.push_back(id);
            world.set_fault(id, host_fault::dead);
        }
    }
    world.run_for(named_for);
    const auto text = std::to_string(world.hosts().size()) + " hosts, " +
                      std::to_string(dead.size()) + " dead, seed " + std::to_string(settings.seed);
    for (const auto& id : dead) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text + ", " + id.value, std::size_t{0},
                                     hosts_considering_alive(world, id, true) +
                                         hosts_considering_alive(world, id, false));
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, false_deaths(world));
}

bool is_in(const control_state& state, const std::string& domain_prefix)
{
    return state.self.domain.value.starts_with(domain_prefix);
}

} // namespace

class probing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(probing_test);
    CPPUNIT_TEST(a_death_is_known_soon_in_large_domains);
    CPPUNIT_TEST(a_death_is_known_soon_over_lossy_paths);
    CPPUNIT_TEST(no_live_host_is_declared_dead);
    CPPUNIT_TEST(no_live_host_of_a_large_domain_is_declared_dead);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_death_is_known_soon_in_large_domains()
    {
        check_death_detection(2, 4, 0);
        check_death_detection(2, 11, 0);
        check_death_detection(3, 22, 0);
    }

    void a_death_is_known_soon_over_lossy_paths()
    {
        check_death_detection(2, 11, 0.05);
        check_death_detection(3, 22, 0.05);
    }

    void no_live_host_is_declared_dead()
    {
        for (const double loss : {0.0, 0.1}) {
            store_world world({3, 2, 12, loss, 5, milliseconds(3'000)});
            for (int i = 0; i < 90; ++i) {
                world.run_for(seconds(1));
                CPPUNIT_ASSERT_EQUAL_MESSAGE("loss " + std::to_string(loss) + ", at second " +
                                                 std::to_string(i),
                                             std::size_t{0}, false_deaths(world));
            }
        }
    }

    /// Guards against false positives, seen in membership_benchmark with 198 hosts in 9 failure
    /// domains.
    void no_live_host_of_a_large_domain_is_declared_dead()
    {
        store_world world({3, 3, 22, 0.1, 5, milliseconds(3'000)});
        for (int i = 0; i < 180; ++i) {
            world.run_for(seconds(1));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("at second " + std::to_string(i), std::size_t{0},
                                         false_deaths(world));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(probing_test);

class small_domains_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(small_domains_test);
    CPPUNIT_TEST(no_live_host_of_a_small_domain_is_declared_dead);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against false positives, seen in membership_benchmark with 24 hosts in 6 failure
    /// domains.
    void no_live_host_of_a_small_domain_is_declared_dead()
    {
        for (const std::size_t hosts_per_domain : {3, 4, 7}) {
            store_world world({3, 2, hosts_per_domain, 0, 5, milliseconds(3'000)});
            for (int i = 0; i < 180; ++i) {
                world.run_for(seconds(1));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(hosts_per_domain) +
                                                 " hosts per domain, at second " +
                                                 std::to_string(i),
                                             std::size_t{0}, false_deaths(world));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(small_domains_test);

class lost_domains_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lost_domains_test);
    CPPUNIT_TEST(a_lost_domain_is_known_everywhere);
    CPPUNIT_TEST(a_lost_region_is_known_everywhere);
    CPPUNIT_TEST(the_loss_of_all_others_is_known);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against look-up answers that name the hosts of a lost failure domain, whose own hosts
    /// would have found each other dead, for as long as heartbeats of far hosts may take.
    void a_lost_domain_is_known_everywhere()
    {
        const auto dies = [](const control_state& state) { return is_in(state, "r0-0"); };
        for (const std::size_t hosts_per_domain : {1, 2, 3, 11}) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                check_mass_death({3, 2, hosts_per_domain, 0.01, seed, milliseconds(3'000)}, dies);
            }
        }
        check_mass_death({3, 3, 22, 0.01, 1, milliseconds(3'000)}, dies);
    }

    void a_lost_region_is_known_everywhere()
    {
        const auto dies = [](const control_state& state) { return is_in(state, "r0-"); };
        for (const std::size_t hosts_per_domain : {1, 2, 4, 11}) {
            check_mass_death({3, 2, hosts_per_domain, 0.01, 3, milliseconds(3'000)}, dies);
        }
    }

    /// The last host hears from nobody, but the store answers it.
    void the_loss_of_all_others_is_known()
    {
        for (const std::size_t hosts_per_domain : {1, 2}) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                check_mass_death({3, 2, hosts_per_domain, 0, seed, milliseconds(3'000)},
                                 [](const control_state& state) {
                                     return state.self.host.value != "edge-r1-0-0";
                                 });
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lost_domains_test);

class many_deaths_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(many_deaths_test);
    CPPUNIT_TEST(many_deaths_at_once_are_known_soon);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Half of the hosts of a failure domain die at once, so that many dead hosts have dead
    /// predecessors, which would otherwise have detected them.
    void many_deaths_at_once_are_known_soon()
    {
        store_world world({3, 2, 12, 0.01, 3, milliseconds(3'000)});
        world.run_for(warm_up);
        const auto all = world.hosts();
        std::vector<host_id> dead;
        for (std::size_t i = 0; i < 12; i += 2) {
            dead.push_back(all.at(i));
            world.set_fault(all.at(i), host_fault::dead);
        }
        world.run_for(known_elsewhere_within);
        for (const auto& id : dead) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts_considering_alive(world, id, true));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, false_deaths(world));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(many_deaths_test);

} // namespace almondquay
