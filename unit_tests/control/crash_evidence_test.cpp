#include "control/quarantine.h"
#include "control/store_followers.h"
#include "control/store_world.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

using std::chrono::seconds;

constexpr seconds warm_up{10};
/// After the third crash, all reachable hosts must refuse the request within this time.
constexpr seconds refused_within{3};
constexpr request_fingerprint poison = 7;

/// 63 hosts in 9 failure domains of 3 regions.
store_world make_world()
{
    store_world_settings settings;
    settings.domains_per_region = 3;
    settings.hosts_per_domain = 7;
    store_world world(settings);
    for (const auto* name : {"t1", "t2", "t3"}) {
        world.put_target(name);
    }
    world.run_for(warm_up);
    return world;
}

crash_evidence evidence_of(request_fingerprint fingerprint, const std::string& target)
{
    return {fingerprint, "s GET /x", target_id(target)};
}

/// The n-th host that is not a follower of the store.
host_id other_host(const store_world& world, std::size_t n)
{
    const auto followers = world.followers();
    for (const auto& id : world.hosts()) {
        const bool follows = std::ranges::find(followers, id) != followers.end();
        if (!follows && n-- == 0) {
            return id;
        }
    }
    return {};
}

bool is_refused_everywhere(const store_world& world, request_fingerprint fingerprint)
{
    return std::ranges::all_of(world.hosts(), [&](const host_id& id) {
        return world.has_fault(id) || world.state_of(id).quarantined.contains(fingerprint);
    });
}

bool is_refused_anywhere(const store_world& world, request_fingerprint fingerprint)
{
    return std::ranges::any_of(world.hosts(), [&](const host_id& id) {
        return world.state_of(id).quarantined.contains(fingerprint);
    });
}

} // namespace

class crash_evidence_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_evidence_test);
    CPPUNIT_TEST(a_crash_is_reported_to_few_hosts_of_a_large_fleet);
    CPPUNIT_TEST(a_request_at_crashes_seen_by_different_hosts_is_refused_everywhere);
    CPPUNIT_TEST(all_hosts_are_notified_despite_the_loss_of_a_regions_followers);
    CPPUNIT_TEST(uninvolved_requests_are_not_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a flood of evidence: when targets lost a quarter of their answers, every host
    /// reported each loss to every other host, which saturated the CPUs of the fleet for seconds.
    void a_crash_is_reported_to_few_hosts_of_a_large_fleet()
    {
        auto world = make_world();
        world.report_crash(other_host(world, 0), evidence_of(poison, "t1"));
        world.run_for(refused_within);
        CPPUNIT_ASSERT(world.evidence_calls() <= world.followers().size());
        CPPUNIT_ASSERT(!is_refused_anywhere(world, poison));
    }

    void a_request_at_crashes_seen_by_different_hosts_is_refused_everywhere()
    {
        auto world = make_world();
        world.report_crash(other_host(world, 0), evidence_of(poison, "t1"));
        world.run_for(seconds(1));
        world.report_crash(other_host(world, 40), evidence_of(poison, "t2"));
        world.run_for(refused_within);
        CPPUNIT_ASSERT(is_refused_everywhere(world, poison));
    }

    void all_hosts_are_notified_despite_the_loss_of_a_regions_followers()
    {
        auto world = make_world();
        const auto home = world.hosts().front().value.substr(0, std::string("edge-r0").size());
        for (const auto& id : world.followers()) {
            if (id.value.starts_with(home)) {
                world.set_fault(id, host_fault::dead);
            }
        }
        world.report_crash(other_host(world, 0), evidence_of(poison, "t1"));
        world.report_crash(other_host(world, 40), evidence_of(poison, "t2"));
        world.run_for(refused_within);
        CPPUNIT_ASSERT(is_refused_everywhere(world, poison));
    }

    /// Request 8 was in flight at both crashes too, each observed by one host; a third crash
    /// distinguishes the two requests.
    void uninvolved_requests_are_not_refused()
    {
        constexpr request_fingerprint innocent = 8;
        auto world = make_world();
        std::size_t n = 0;
        for (const auto* target : {"t1", "t2"}) {
            for (const auto fingerprint : {poison, innocent}) {
                world.report_crash(other_host(world, n++), evidence_of(fingerprint, target));
            }
        }
        world.run_for(refused_within);
        CPPUNIT_ASSERT(!is_refused_anywhere(world, poison));
        world.report_crash(other_host(world, n), evidence_of(poison, "t3"));
        world.run_for(refused_within);
        CPPUNIT_ASSERT(is_refused_everywhere(world, poison));
        CPPUNIT_ASSERT(!is_refused_anywhere(world, innocent));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_evidence_test);

} // namespace almondquay
