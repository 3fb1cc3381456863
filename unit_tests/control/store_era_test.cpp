#include "control/peer_inventory.h"
#include "control/snapshot_builder.h"
#include "control/store_world.h"

#include <algorithm>
#include <set>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds warm_up{8};
constexpr milliseconds away{300};
/// An evacuation must be in force this long after the store has accepted it.
constexpr seconds evacuation_bound{5};
const std::string evacuated_domain = "r0-1";
constexpr seconds registered_within{4};
constexpr seconds lists_agree_within{6};

bool holds_on_all_hosts(const store_world& world,
                        const std::function<bool(const control_state&)>& condition)
{
    return std::ranges::all_of(world.hosts(),
                               [&](const host_id& id) { return condition(world.state_of(id)); });
}

bool knows_evacuation(const control_state& state)
{
    return state.inventory.evacuated.contains(failure_domain_id(evacuated_domain));
}

struct fleet_size {
    std::size_t regions = 3;
    std::size_t domains_per_region = 2;
    std::size_t hosts_per_domain = 2;
};

store_world make_world(const fleet_size& size, std::uint64_t seed)
{
    store_world_settings settings;
    settings.regions = size.regions;
    settings.domains_per_region = size.domains_per_region;
    settings.hosts_per_domain = size.hosts_per_domain;
    settings.seed = seed;
    store_world world(settings);
    for (const auto* name : {"stays", "leaves", "ends"}) {
        world.put_target(name);
    }
    world.run_for(warm_up);
    return world;
}

/// The store's copy is `age` old when the store returns from it; what the operators and targets had
/// written since is written again `rewritten_after` its return.
struct drill {
    milliseconds age;
    milliseconds rewritten_after;
};

std::string text_of(const fleet_size& size, const drill& d, std::uint64_t seed)
{
    std::ostringstream text;
    text << size.regions * size.domains_per_region * size.hosts_per_domain << " hosts, copy of "
         << d.age.count() << " ms ago, rewritten after " << d.rewritten_after.count()
         << " ms, seed " << seed;
    return text.str();
}

bool is_used(const control_state& state, const std::string& name)
{
    const auto snapshot = build_snapshot(state);
    const auto found = snapshot->services.find("s");
    return found != snapshot->services.end() &&
           std::ranges::any_of(found->second.targets, [&](const target_route& route) {
               return route.id.value == name && route.usable;
           });
}

/// What must hold at every moment from the return of the store on, on hosts that knew what the
/// copy lacks.
bool keeps_newer_state(const control_state& state)
{
    return !is_used(state, "leaves") && !is_used(state, "ends") && is_used(state, "stays") &&
           is_used(state, "comes") && knows_evacuation(state) &&
           state.fleet.envelope->number.value == 2;
}

/// The lists of all hosts are the same, and those of the store.
bool agree(const store_world& world)
{
    std::set<std::string> seen;
    for (const auto& id : world.hosts()) {
        const auto& inventory = world.state_of(id).inventory;
        std::ostringstream text;
        for (const auto& digest : digests_of(inventory)) {
            text << digest.value << ' ';
        }
        for (const auto& [name, listed] : inventory.targets) {
            text << name.value << (listed.entry.definition.leaving ? " leaves " : " ");
        }
        text << inventory.hosts.size() << ' ' << inventory.evacuated.size();
        seen.insert(text.str());
    }
    return seen.size() == 1;
}

/// Changes that the store's copy lacks.
void change_after_copy(store_world& world)
{
    world.put_target("comes");
    world.put_leaving_target("leaves");
    world.delete_target("ends");
    world.put_evacuation(evacuated_domain);
    world.put_configuration(2);
}

void play_drill(const fleet_size& size, const drill& d, std::uint64_t seed)
{
    constexpr milliseconds step{100};
    constexpr milliseconds known_everywhere{1'000};
    const auto text = text_of(size, d, seed);
    auto world = make_world(size, seed);
    world.copy_store();
    change_after_copy(world);
    world.run_for(std::max(d.age, known_everywhere));
    world.restore_store(away, d.rewritten_after);
    const auto returned = world.now() + away;
    const auto rewritten = returned + d.rewritten_after;
    const bool is_in_time = d.rewritten_after <= milliseconds(2'000);
    while (world.now() < rewritten + lists_agree_within) {
        world.run_for(step);
        CPPUNIT_ASSERT_MESSAGE(text + ", at " + std::to_string((world.now() - returned).count()),
                               !is_in_time || holds_on_all_hosts(world, keeps_newer_state));
        if (world.now() - returned >= registered_within) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, world.hosts().size(),
                                         world.registered_hosts().size());
        }
    }
    CPPUNIT_ASSERT_MESSAGE(text, holds_on_all_hosts(world, keeps_newer_state));
    CPPUNIT_ASSERT_MESSAGE(text, agree(world));
}

} // namespace

/// The store returns from a copy that is some seconds old, and gives revisions out again.
class store_era_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_era_test);
    CPPUNIT_TEST(an_evacuation_at_a_revision_of_before_is_known_to_all);
    CPPUNIT_TEST(newer_state_than_that_of_the_copy_stays_in_force);
    CPPUNIT_TEST(hosts_that_the_copy_lacks_register_again);
    CPPUNIT_TEST(large_fleets_agree_after_a_return);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against followers that watch on from a revision of before the return and so miss all
    /// changes until the store's counter has passed it.
    void an_evacuation_at_a_revision_of_before_is_known_to_all()
    {
        for (const std::size_t hosts_per_domain : {1, 2, 4}) {
            for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                auto world = make_world({3, 2, hosts_per_domain}, seed);
                world.copy_store();
                for (int i = 0; i < 6; ++i) {
                    world.put_target("added", 2 + i);
                }
                world.run_for(seconds(8));
                world.restore_store(away, milliseconds(0));
                world.run_for(away + milliseconds(200));
                world.put_evacuation(evacuated_domain);
                for (const auto* name : {"a", "b", "c", "d"}) {
                    world.put_target(name);
                }
                world.run_for(evacuation_bound);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(hosts_per_domain) + " hosts a domain, seed " +
                                           std::to_string(seed),
                                       holds_on_all_hosts(world, knows_evacuation));
            }
        }
    }

    /// Guards against what the copy says of the time before: targets that have left since are used
    /// again, those that have come since and evacuations are forgotten.
    void newer_state_than_that_of_the_copy_stays_in_force()
    {
        for (const fleet_size size : {fleet_size{1, 2, 1}, fleet_size{2, 2, 2}}) {
            for (const int age_s : {1, 4, 15}) {
                for (const int rewritten_ms : {0, 300, 2'000, 4'000}) {
                    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                        play_drill(size, {seconds(age_s), milliseconds(rewritten_ms)}, seed);
                    }
                }
            }
        }
    }

    /// Guards against look-ups without the hosts that had registered since the copy was taken.
    void hosts_that_the_copy_lacks_register_again()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            store_world_settings settings;
            settings.seed = seed;
            store_world world(settings);
            world.copy_store(); // Before the hosts have started.
            world.run_for(warm_up);
            world.restore_store(away, milliseconds(0));
            const auto returned = world.now() + away;
            const auto all = world.hosts().size();
            while (world.now() - returned < 2 * registered_within) {
                world.run_for(milliseconds(100));
                CPPUNIT_ASSERT(holds_on_all_hosts(world, [&](const control_state& state) {
                    return state.fleet.configuration.hosts.size() == all;
                }));
                CPPUNIT_ASSERT(world.now() - returned < registered_within ||
                               world.registered_hosts().size() == all);
            }
            CPPUNIT_ASSERT(agree(world));
        }
    }

    void large_fleets_agree_after_a_return()
    {
        play_drill({3, 3, 7}, {seconds(8), milliseconds(500)}, 1);
        play_drill({3, 3, 22}, {seconds(8), milliseconds(500)}, 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_era_test);

} // namespace almondquay
