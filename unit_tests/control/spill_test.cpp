#include "control/reducer.h"
#include "control/snapshot_builder.h"

#include <algorithm>
#include <map>
#include <random>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

struct random_fleet {
    std::string text;
    int domains = 0;
    int hosts = 0; ///< in each domain
    std::map<std::string, std::pair<std::uint32_t, double>>
        granted; ///< requests in flight and bytes per second
};

/// A configuration of domains with hosts, one target per domain, and grants between the domains.
random_fleet make_fleet(std::mt19937& random)
{
    constexpr double bytes_per_megabit = 125'000;
    random_fleet f;
    f.domains = 2 + static_cast<int>(random() % 3);
    f.hosts = 1 + static_cast<int>(random() % 4);
    f.text = "[fleet]\nname = f\n[region r]\n[service s]\n";
    for (int d = 0; d < f.domains; ++d) {
        const auto name = std::to_string(d);
        f.text += "[failure_domain d" + name + "]\nregion = r\n[target t" + name +
                  "]\nservice = s\nslots = 30\nfailure_domain = d" + name + "\naddress = 127.1.0." +
                  std::to_string(d + 1) + ":9000\n";
        for (int h = 0; h < f.hosts; ++h) {
            f.text += "[host h" + name + std::to_string(h) + "]\nfailure_domain = d" + name +
                      "\naddress = 127.0." + name + "." + std::to_string(h + 1) + "\n";
        }
        const auto to = "d" + std::to_string((d + 1) % f.domains);
        const auto in_flight = static_cast<std::uint32_t>(1 + random() % 30);
        const auto rate = 1 + random() % 100;
        f.text += "[grant d" + name + " " + to + " s]\nin_flight = " + std::to_string(in_flight) +
                  "\nmbit = " + std::to_string(rate) + "\n";
        f.granted["spill/" + to] = {in_flight, static_cast<double>(rate) * bytes_per_megabit};
    }
    return f;
}

/// The snapshot of one host after it received gossip from a random subset of the others.
control_state make_view(const random_fleet& f, int domain, int index, std::mt19937& random)
{
    const host_id self("h" + std::to_string(domain) + std::to_string(index));
    auto state = make_control_state(
        {self, failure_domain_id("d" + std::to_string(domain)), incarnation(1), {}}, 1);
    const fleet_envelope envelope{generation(1), f.text, {}, "op", "why", 0};
    const monotonic_time now(std::chrono::milliseconds(1));
    reduce(state, {fleet_read_event{stored_object{"fleet", 1, encode(envelope)}}, now, {}});
    gossip_message heard;
    for (const auto& [id, h] : state.fleet.configuration.hosts) {
        if (random() % 3 != 0) {
            heard.heartbeats.push_back({id, incarnation(1), 1, false, false});
        }
    }
    reduce(state, {gossip_event{heard}, now, {}});
    return state;
}

} // namespace

class spill_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(spill_test);
    CPPUNIT_TEST(all_hosts_together_stay_within_every_grant);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Whichever hosts each host considers alive, the shares of all hosts add up to no more than
    /// the grant, in requests in flight and in bytes per second.
    void all_hosts_together_stay_within_every_grant()
    {
        std::mt19937 random(12);
        for (int round = 0; round < 200; ++round) {
            const auto f = make_fleet(random);
            std::map<std::string, std::uint32_t> in_flight;
            std::map<std::string, double> rate;
            for (int d = 0; d < f.domains; ++d) {
                for (int h = 0; h < f.hosts; ++h) {
                    const auto snapshot = build_snapshot(make_view(f, d, h, random));
                    for (const auto& route : snapshot->services.at("s").targets) {
                        if (route.is_spill) {
                            const auto to = route.id.value.substr(0, route.id.value.find("/s/"));
                            in_flight[to] += route.slots;
                            rate[to] += route.slots * route.bytes_per_second;
                        }
                    }
                }
            }
            for (const auto& [to, granted] : f.granted) {
                CPPUNIT_ASSERT_EQUAL(granted.first, in_flight[to]);
                CPPUNIT_ASSERT(rate[to] <= granted.second * 1.000001);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spill_test);

} // namespace almondquay
