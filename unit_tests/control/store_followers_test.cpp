#include "control/store_followers.h"
#include "control/store_world.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds warm_up{8};

bool knows_target(const control_state& state, const std::string& name)
{
    return state.inventory.targets.contains(target_id(name));
}

/// Whether the condition holds on all hosts without a fault.
bool holds_on_healthy_hosts(const store_world& world,
                            const std::function<bool(const control_state&)>& condition)
{
    return std::ranges::all_of(world.hosts(), [&](const host_id& id) {
        return world.has_fault(id) || condition(world.state_of(id));
    });
}

bool is_up_to_date(const store_world& world, std::uint64_t configuration, const std::string& target,
                   const std::string& gone)
{
    return holds_on_healthy_hosts(world, [&](const control_state& state) {
        return state.fleet.envelope && state.fleet.envelope->number.value == configuration &&
               knows_target(state, target) && !knows_target(state, gone);
    });
}

/// Changes one target, deletes another and changes the configuration at the same time.
void change_all(store_world& world)
{
    world.put_target("new");
    world.delete_target("old");
    world.put_configuration(2);
}

store_world make_world(store_world_settings settings = {})
{
    store_world world(settings);
    world.put_target("old");
    world.put_target("stays");
    world.run_for(warm_up);
    return world;
}

/// Injects a fault at all followers just before changes, which must take effect in time on all
/// hosts without the fault.
void inject_fault_at_followers(host_fault fault, std::uint64_t seed)
{
    store_world_settings settings;
    settings.seed = seed;
    auto world = make_world(settings);
    for (const auto& id : world.followers()) {
        world.set_fault(id, fault);
    }
    change_all(world);
    world.run_for(settings.max_propagation_delay);
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), is_up_to_date(world, 2, "new", "old"));
}

/// Kills all followers of the store, deletes an entry
/// and starts them again one after the other.
void restart_store_readers(store_world& world, const std::function<void()>& delete_entry)
{
    constexpr milliseconds down{200};
    constexpr milliseconds between_starts{250};
    const auto killed = world.followers();
    for (const auto& id : killed) {
        world.set_fault(id, host_fault::dead);
    }
    world.run_for(down / 2);
    delete_entry();
    world.run_for(down / 2);
    for (const auto& id : killed) {
        world.restart(id);
        world.run_for(between_starts);
    }
}

constexpr std::uint64_t seeds = 10;

} // namespace

class store_followers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_followers_test);
    CPPUNIT_TEST(all_hosts_start_and_few_follow);
    CPPUNIT_TEST(changes_reach_all_hosts_in_time);
    CPPUNIT_TEST(changes_reach_all_hosts_of_a_large_fleet_over_lossy_paths);
    CPPUNIT_TEST(dead_followers_are_replaced_in_time);
    CPPUNIT_TEST(frozen_followers_are_replaced_in_time);
    CPPUNIT_TEST(deaf_followers_are_replaced_in_time);
    CPPUNIT_TEST(followers_cut_off_are_replaced_in_time);
    CPPUNIT_TEST(removed_targets_are_noticed_although_all_followers_restart);
    CPPUNIT_TEST(ended_evacuations_are_noticed_although_all_followers_restart);
    CPPUNIT_TEST(restarts_of_followers_copy_no_lists_that_are_the_same);
    CPPUNIT_TEST(a_resumed_follower_reverts_no_changes);
    CPPUNIT_TEST(a_host_that_starts_learns_all_from_its_peers);
    CPPUNIT_TEST(a_host_that_is_back_alone_serves_with_the_evacuations);
    CPPUNIT_TEST(all_hosts_restart_while_the_store_is_away);
    CPPUNIT_TEST(an_idle_fleet_queries_the_store_rarely_at_any_size);
    CPPUNIT_TEST_SUITE_END();

public:
    void all_hosts_start_and_few_follow()
    {
        const auto world = make_world();
        CPPUNIT_ASSERT(holds_on_healthy_hosts(world, [](const control_state& state) {
            return state.stage == life_stage::serving && knows_target(state, "stays");
        }));
        CPPUNIT_ASSERT_EQUAL(3 * followers_per_region, world.followers().size());
    }

    void changes_reach_all_hosts_in_time()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            store_world_settings settings;
            settings.seed = seed;
            auto world = make_world(settings);
            change_all(world);
            world.run_for(settings.max_propagation_delay);
            CPPUNIT_ASSERT(is_up_to_date(world, 2, "new", "old"));
            world.put_evacuation("r1-0");
            constexpr seconds evacuation_bound{5};
            world.run_for(evacuation_bound);
            CPPUNIT_ASSERT(holds_on_healthy_hosts(world, [](const control_state& state) {
                return state.inventory.evacuated.contains(failure_domain_id("r1-0"));
            }));
        }
    }

    void changes_reach_all_hosts_of_a_large_fleet_over_lossy_paths()
    {
        auto world = make_world({3, 3, 22, 0.1, 7, milliseconds(3'000)});
        change_all(world);
        world.run_for(milliseconds(3'000));
        CPPUNIT_ASSERT(is_up_to_date(world, 2, "new", "old"));
    }

    void dead_followers_are_replaced_in_time()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            inject_fault_at_followers(host_fault::dead, seed);
        }
    }

    void frozen_followers_are_replaced_in_time()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            inject_fault_at_followers(host_fault::frozen, seed);
        }
    }

    void deaf_followers_are_replaced_in_time()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            inject_fault_at_followers(host_fault::deaf, seed);
        }
    }

    void followers_cut_off_are_replaced_in_time()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            inject_fault_at_followers(host_fault::alone, seed);
        }
    }

    /// Guards against use of a removed target for as long as the host runs: the followers read the
    /// list without it, gave the list the revision of its remaining entries, which the others had
    /// too, and so confirmed it to them with the removed target.
    void removed_targets_are_noticed_although_all_followers_restart()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            store_world_settings settings{1, 1, 4};
            settings.seed = seed;
            auto world = make_world(settings);
            restart_store_readers(world, [&] { world.delete_target("old"); });
            world.run_for(settings.max_propagation_delay);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   is_up_to_date(world, 1, "stays", "old"));
            restart_store_readers(world, [&] { world.delete_target("stays"); });
            world.run_for(settings.max_propagation_delay);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   holds_on_healthy_hosts(world, [](const control_state& state) {
                                       return !knows_target(state, "stays");
                                   }));
        }
    }

    /// The same failure with another list: targets of a failure domain that is back stayed unused.
    void ended_evacuations_are_noticed_although_all_followers_restart()
    {
        constexpr seconds evacuation_bound{5};
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            store_world_settings settings{1, 2, 4};
            settings.seed = seed;
            auto world = make_world(settings);
            world.put_evacuation("r0-0");
            world.run_for(evacuation_bound);
            restart_store_readers(world, [&] { world.delete_evacuation("r0-0"); });
            world.run_for(evacuation_bound);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                   holds_on_healthy_hosts(world, [](const control_state& state) {
                                       return state.inventory.evacuated.empty();
                                   }));
        }
    }

    /// A list that was read completely is newer than the copies of it that the others have; these
    /// are current all the same and are not copied again.
    void restarts_of_followers_copy_no_lists_that_are_the_same()
    {
        constexpr std::size_t targets = 300;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            store_world_settings settings{3, 2, 6};
            settings.seed = seed;
            store_world world(settings);
            for (std::size_t i = 0; i < targets; ++i) {
                world.put_target("target-" + std::to_string(i));
            }
            world.run_for(warm_up);
            const auto restarted = world.followers();
            std::map<host_id, std::size_t> before;
            for (const auto& id : world.hosts()) {
                before[id] = world.decisions_of(id, "list_copied");
            }
            restart_store_readers(world, [] {});
            world.run_for(seconds(5));
            for (const auto& id : world.hosts()) {
                const bool was_restarted = std::ranges::find(restarted, id) != restarted.end();
                const auto copied = world.decisions_of(id, "list_copied") - before[id];
                CPPUNIT_ASSERT_MESSAGE(id.value + ", seed " + std::to_string(seed) + ": " +
                                           std::to_string(copied),
                                       was_restarted || copied == 0);
            }
        }
    }

    /// The lists of a resumed follower are outdated, and its steady clock stopped while it was
    /// frozen.
    void a_resumed_follower_reverts_no_changes()
    {
        auto world = make_world();
        const auto frozen = world.followers();
        for (const auto& id : frozen) {
            world.set_fault(id, host_fault::frozen);
        }
        world.run_for(seconds(3));
        change_all(world);
        world.run_for(seconds(3));
        for (const auto& id : frozen) {
            world.clear_fault(id);
        }
        constexpr int recovery_steps =
            50; // Steps of 100 ms: 3 s until alive again, 2 s until changes arrive.
        for (int step = 0; step < recovery_steps; ++step) {
            world.run_for(milliseconds(100));
            for (const auto& id : world.hosts()) {
                const bool was_frozen = std::ranges::find(frozen, id) != frozen.end();
                const auto& state = world.state_of(id);
                CPPUNIT_ASSERT(was_frozen || (!knows_target(state, "old") &&
                                              state.fleet.envelope->number.value == 2));
            }
        }
        CPPUNIT_ASSERT(is_up_to_date(world, 2, "new", "old"));
    }

    void a_host_that_starts_learns_all_from_its_peers()
    {
        auto world = make_world();
        const auto followers = world.followers();
        for (const auto& id : world.hosts()) {
            const auto& seeds = world.state_of(id).self.seeds;
            const auto& own = world.state_of(id).self.registration.peers;
            const bool reads_store = std::ranges::find(followers, id) != followers.end() ||
                                     std::ranges::find(seeds, own) != seeds.end();
            if (reads_store) {
                continue;
            }
            const auto before = world.calls_of(id);
            world.restart(id);
            world.run_for(seconds(2));
            const auto& state = world.state_of(id);
            CPPUNIT_ASSERT(state.stage == life_stage::serving && knows_target(state, "stays"));
            CPPUNIT_ASSERT_EQUAL(before + 1,
                                 world.calls_of(id)); // The registration is its only call.
        }
    }

    /// Guards against a host that finds no peer, is no follower, and serves before it has read the
    /// evacuations. It is ready as early as without them.
    void a_host_that_is_back_alone_serves_with_the_evacuations()
    {
        constexpr seconds evacuation_bound{5};
        constexpr milliseconds latest_start{3'000};
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            store_world_settings settings{3, 2, 2};
            settings.seed = seed;
            auto world = make_world(settings);
            world.put_evacuation("r1-0");
            world.run_for(evacuation_bound);
            const auto all = world.hosts();
            for (const auto& id : all) {
                world.set_fault(id, host_fault::dead);
            }
            world.run_for(seconds(1));
            const auto& back = all.at(seed % all.size());
            world.restart(back);
            const auto began = world.now();
            while (world.now() - began < latest_start) {
                world.run_for(milliseconds(50));
                const auto& state = world.state_of(back);
                CPPUNIT_ASSERT_MESSAGE(
                    back.value, state.stage != life_stage::serving ||
                                    state.inventory.evacuated.contains(failure_domain_id("r1-0")));
            }
            CPPUNIT_ASSERT_MESSAGE(back.value, world.state_of(back).stage == life_stage::serving);
        }
    }

    /// Some hosts keep serving; the restarted ones copy all their state from them.
    void all_hosts_restart_while_the_store_is_away()
    {
        auto world = make_world();
        world.set_store_unreachable(true);
        const auto all = world.hosts();
        for (std::size_t i = 1; i < all.size(); ++i) {
            world.restart(all[i]);
        }
        world.run_for(seconds(4));
        CPPUNIT_ASSERT(holds_on_healthy_hosts(world, [](const control_state& state) {
            return state.stage == life_stage::serving && knows_target(state, "stays");
        }));
    }

    /// The limits for a run of 40 s: 25 calls per host with 12 hosts, 15 with 72, 8 with 198.
    void an_idle_fleet_queries_the_store_rarely_at_any_size()
    {
        struct size {
            std::size_t domains = 0;
            std::size_t hosts = 0;
            std::size_t most_calls = 0; ///< of any host
        };
        for (const auto& [domains, hosts, most_calls] :
             {size{2, 2, 25}, size{2, 12, 15}, size{3, 22, 8}}) {
            auto world = make_world({3, domains, hosts, 0.01, 5, milliseconds(3'000)});
            world.run_for(seconds(40) - warm_up);
            const auto all = world.hosts().size();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(world.calls()) + " calls of " +
                                       std::to_string(all) + " hosts",
                                   world.calls() <= most_calls * all);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_followers_test);

} // namespace almondquay
