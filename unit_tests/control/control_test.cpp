#include "control/membership.h"
#include "control/reducer.h"
#include "control/target_health.h"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view text = R"([fleet]
name = f
lookup_ttl_ms = 1000
[region r]
[failure_domain a]
region = r
[host a1]
failure_domain = a
address = 127.0.1.1
[host a2]
failure_domain = a
address = 127.0.1.2
[service s]
[target t1]
service = s
failure_domain = a
address = 127.1.1.1:9000
[target t2]
service = s
failure_domain = a
address = 127.1.1.2:9000
)";

event at(milliseconds now, event_body body)
{
    return {std::move(body), monotonic_time(now), wall_time(now)};
}

stored_object object_of(std::uint64_t number, std::string_view words = text)
{
    return {"fleet", number,
            encode(fleet_envelope{generation(number), std::string(words), {}, "op", "why", 0})};
}

control_state serving_state()
{
    auto state = make_control_state({host_id("a1"), failure_domain_id("a"), incarnation(1), {}}, 1);
    reduce(state, at(milliseconds(1), fleet_read_event{object_of(1)}));
    return state;
}

gossip_message beat_of(std::uint64_t life, std::uint64_t beat)
{
    return {host_id("a2"),
            {},
            generation(1),
            0,
            {{host_id("a2"), incarnation(life), beat, false, false}}};
}

template <class Effect> std::size_t count(const effects& all)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        all, [](const effect& e) { return std::holds_alternative<Effect>(e); }));
}

bool is_alive(const control_state& state)
{
    const auto found = state.membership.members.find(host_id("a2"));
    return found != state.membership.members.end() && found->second.alive;
}

} // namespace

class control_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_test);
    CPPUNIT_TEST(serves_only_with_a_configuration);
    CPPUNIT_TEST(a_lower_generation_is_ignored_and_the_platform_restored);
    CPPUNIT_TEST(a_bad_text_is_refused_once_and_the_old_one_stays);
    CPPUNIT_TEST(silent_hosts_die_and_return);
    CPPUNIT_TEST(a_replaced_host_is_known_by_its_new_life);
    CPPUNIT_TEST(a_reported_death_holds_until_a_newer_heartbeat);
    CPPUNIT_TEST(a_pause_of_the_process_declares_no_host_dead);
    CPPUNIT_TEST(failing_targets_are_ejected_and_return_after_probes);
    CPPUNIT_TEST(when_most_targets_look_dead_none_is_ejected);
    CPPUNIT_TEST(a_request_at_two_crashes_is_quarantined_and_released);
    CPPUNIT_TEST(uninvolved_requests_are_not_quarantined);
    CPPUNIT_TEST(a_stop_is_announced_to_peers_at_once);
    CPPUNIT_TEST(a_stop_waits_until_lookup_answers_have_expired);
    CPPUNIT_TEST_SUITE_END();

public:
    void serves_only_with_a_configuration()
    {
        auto state =
            make_control_state({host_id("a1"), failure_domain_id("a"), incarnation(1), {}}, 1);
        reduce(state,
               at(milliseconds(1), fleet_read_event{error{result_code::platform_not_found, ""}}));
        CPPUNIT_ASSERT(state.stage == life_stage::starting);
        reduce(state, at(milliseconds(2), fleet_read_event{object_of(1)}));
        CPPUNIT_ASSERT(state.stage == life_stage::serving);
    }

    void a_lower_generation_is_ignored_and_the_platform_restored()
    {
        auto state = serving_state();
        reduce(state, at(milliseconds(2), fleet_read_event{object_of(5)}));
        const auto out = reduce(state, at(milliseconds(3), fleet_read_event{object_of(4)}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.fleet.envelope->number.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<write_fleet_effect>(out));
    }

    void a_bad_text_is_refused_once_and_the_old_one_stays()
    {
        auto state = serving_state();
        auto out = reduce(state, at(milliseconds(2), fleet_read_event{object_of(2, "nonsense")}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<record_effect>(out));
        out = reduce(state, at(milliseconds(3), fleet_read_event{object_of(2, "nonsense")}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count<record_effect>(out));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.fleet.envelope->number.value);
        CPPUNIT_ASSERT(state.stage == life_stage::serving);
    }

    void silent_hosts_die_and_return()
    {
        auto state = serving_state();
        reduce(state, at(milliseconds(10), gossip_event{beat_of(1, 1)}));
        for (int ms = 250; ms <= 4'000; ms += 250) {
            reduce(state, at(milliseconds(ms), tick_event{}));
        }
        CPPUNIT_ASSERT(!is_alive(state));
        reduce(state, at(milliseconds(4'100), gossip_event{beat_of(1, 1)}));
        CPPUNIT_ASSERT(!is_alive(state));
        reduce(state, at(milliseconds(4'200), gossip_event{beat_of(1, 2)}));
        CPPUNIT_ASSERT(is_alive(state));
    }

    void a_replaced_host_is_known_by_its_new_life()
    {
        auto state = serving_state();
        reduce(state, at(milliseconds(10), gossip_event{beat_of(1, 900)}));
        reduce(state, at(milliseconds(20), gossip_event{beat_of(2, 1)}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             state.membership.members.at(host_id("a2")).life.value);
        reduce(state, at(milliseconds(30), gossip_event{beat_of(1, 901)}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.claim_view.alive.at(host_id("a2")).value);
    }

    void a_reported_death_holds_until_a_newer_heartbeat()
    {
        auto state = serving_state();
        auto death = beat_of(1, 5);
        death.heartbeats.front().dead = true;
        reduce(state, at(milliseconds(10), gossip_event{beat_of(1, 6)}));
        reduce(state, at(milliseconds(20), gossip_event{death}));
        CPPUNIT_ASSERT(is_alive(state));
        death.heartbeats.front().beat = 6;
        reduce(state, at(milliseconds(30), gossip_event{death}));
        CPPUNIT_ASSERT(!is_alive(state));
        reduce(state, at(milliseconds(40), gossip_event{beat_of(1, 7)}));
        CPPUNIT_ASSERT(is_alive(state));
    }

    void a_pause_of_the_process_declares_no_host_dead()
    {
        auto state = serving_state();
        reduce(state, at(milliseconds(250), tick_event{}));
        reduce(state, at(milliseconds(260), gossip_event{beat_of(1, 1)}));
        reduce(state, at(milliseconds(60'000), tick_event{}));
        CPPUNIT_ASSERT(is_alive(state));
    }

    void failing_targets_are_ejected_and_return_after_probes()
    {
        auto state = serving_state();
        const target_report_event failed{target_id("t1"), target_evidence::connect_failed};
        for (unsigned i = 0; i < failures_to_eject; ++i) {
            reduce(state, at(milliseconds(10 + i), failed));
        }
        CPPUNIT_ASSERT(dead_targets(state).contains(target_id("t1")));
        const auto out = reduce(state, at(milliseconds(1'000), tick_event{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<probe_effect>(out));
        reduce(state, at(milliseconds(1'010), probe_ended_event{target_id("t1"), true}));
        reduce(state, at(milliseconds(1'020), probe_ended_event{target_id("t1"), false}));
        reduce(state, at(milliseconds(1'030), probe_ended_event{target_id("t1"), true}));
        CPPUNIT_ASSERT(!dead_targets(state).empty());
        reduce(state, at(milliseconds(1'040), probe_ended_event{target_id("t1"), true}));
        CPPUNIT_ASSERT(dead_targets(state).empty());
    }

    void when_most_targets_look_dead_none_is_ejected()
    {
        auto state = serving_state();
        for (const auto* name : {"t1", "t2"}) {
            for (unsigned i = 0; i < failures_to_eject; ++i) {
                const target_report_event failed{target_id(name), target_evidence::answer_lost};
                reduce(state, at(milliseconds(10 + i), failed));
            }
        }
        CPPUNIT_ASSERT(dead_targets(state).empty());
    }

    void a_request_at_two_crashes_is_quarantined_and_released()
    {
        auto state = serving_state();
        reduce(state, at(milliseconds(10), crash_evidence_event{{7, "s GET /x", target_id("t1")}}));
        reduce(state, at(milliseconds(11), crash_evidence_event{{7, "s GET /x", target_id("t1")}}));
        CPPUNIT_ASSERT(state.quarantined.empty());
        reduce(state,
               at(milliseconds(20), crash_evidence_event{{7, "s GET /x", target_id("t2")}, true}));
        reduce(state, at(milliseconds(250), tick_event{}));
        CPPUNIT_ASSERT(state.quarantined.contains(7));
        reduce(state, at(milliseconds(260), request_released_event{7}));
        CPPUNIT_ASSERT(state.quarantined.empty());
    }

    /// Request 8 was in flight at both crashes too, so neither request is quarantined. Once request
    /// 8 is served it is cleared, and the other one is quarantined.
    void uninvolved_requests_are_not_quarantined()
    {
        auto state = serving_state();
        for (const auto* target : {"t1", "t2"}) {
            for (const request_fingerprint fingerprint : {8, 7}) {
                reduce(state, at(milliseconds(10), crash_evidence_event{{fingerprint, "s GET /x",
                                                                         target_id(target)}}));
            }
        }
        reduce(state, at(milliseconds(250), tick_event{}));
        CPPUNIT_ASSERT(state.quarantined.empty());
        reduce(state, at(milliseconds(260), request_cleared_event{8}));
        reduce(state, at(milliseconds(500), tick_event{}));
        CPPUNIT_ASSERT(state.quarantined.contains(7));
    }

    /// Guards against an announcement of a stop whose heartbeat peers already have: they would
    /// ignore it and learn of the stop only from a later heartbeat.
    void a_stop_is_announced_to_peers_at_once()
    {
        auto state = serving_state();
        reduce(state, at(milliseconds(250), tick_event{}));
        const auto beat = state.membership.own_beat;
        for (const auto& e : reduce(state, at(milliseconds(300), stop_requested_event{}))) {
            if (const auto* gossip = std::get_if<send_gossip_effect>(&e)) {
                CPPUNIT_ASSERT(gossip->message.heartbeats.front().leaving);
                CPPUNIT_ASSERT(gossip->message.heartbeats.front().beat > beat);
                return;
            }
        }
        CPPUNIT_FAIL("a stopping host sent no gossip to its peers");
    }

    void a_stop_waits_until_lookup_answers_have_expired()
    {
        auto state = serving_state();
        auto out = reduce(state, at(milliseconds(100), stop_requested_event{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<publish_effect>(out));
        out = reduce(state, at(milliseconds(1'000), tick_event{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count<stop_traffic_effect>(out));
        out = reduce(state, at(milliseconds(1'600), tick_event{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<stop_traffic_effect>(out));
        out = reduce(state, at(milliseconds(1'700), traffic_ended_event{}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<exit_effect>(out));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_test);

} // namespace almondquay
