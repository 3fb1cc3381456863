#include "control/fleet_adoption.h"
#include "control/reducer.h"
#include "platform/registry_protocol.h"
#include "platform/sample_manifest.h"
#include "steering/route_table.h"

#include <chrono>
#include <cstdio>
#include <string>

/// Measures the bytes and the time, in ms, of a change of one route by the number of routes: on a
/// host that reads the store, on one that gets the change from a peer, and for finding a request's
/// route.
namespace {

using namespace almondquay;
using std::chrono::milliseconds;

constexpr int changes = 50;

control_state make_state()
{
    host_identity self;
    self.host = host_id("h");
    self.domain = failure_domain_id("d");
    self.domains = {{self.domain, region_id("r")}};
    self.has_inventory = true;
    self.codec = platform::registry_protocol.configuration;
    return make_control_state(self, 1);
}

event now(event_body body)
{
    return {std::move(body), monotonic_time(milliseconds(1)), wall_time(milliseconds(1))};
}

double ms_since(std::chrono::steady_clock::time_point start)
{
    const std::chrono::duration<double, std::milli> taken =
        std::chrono::steady_clock::now() - start;
    return taken.count();
}

void measure(std::size_t routes)
{
    auto reader = make_state();
    auto relay = make_state();
    double read_ms = 0;
    double apply_ms = 0;
    std::size_t whole_bytes = 0;
    std::size_t change_bytes = 0;
    for (int i = 0; i <= changes; ++i) {
        const auto number = static_cast<std::uint64_t>(i) + 1;
        const auto text =
            platform::sample_manifest(routes, static_cast<std::size_t>(i) % routes, number).dump();
        auto start = std::chrono::steady_clock::now();
        fleet_envelope envelope;
        envelope.number = generation(number);
        envelope.parts = value_of(platform::registry_protocol.configuration.split(text));
        effects out;
        adopt(reader, now(tick_event{}), envelope, "platform", out);
        const auto read = ms_since(start);
        inventory_copy copy;
        copy.configuration = encoded_change_since(reader, generation_in_force(relay));
        start = std::chrono::steady_clock::now();
        reduce(relay, now(peer_inventory_event{"peer", copy}));
        const auto applied = ms_since(start);
        if (i == 0) {
            whole_bytes = copy.configuration->size();
            continue;
        }
        read_ms += read / changes;
        apply_ms += applied / changes;
        change_bytes = copy.configuration->size();
    }
    const auto start = std::chrono::steady_clock::now();
    constexpr int look_ups = 100'000;
    std::size_t found = 0;
    for (int i = 0; i < look_ups; ++i) {
        const auto n = static_cast<std::size_t>(i) % routes;
        const auto host = "h" + std::to_string(n % platform::sample_host_names) + ".example";
        found += find_rule(*relay.fleet.routes, host, "/p" + std::to_string(n) + "/x") != nullptr;
    }
    constexpr double us_per_ms = 1'000;
    std::printf("%6zu %11zu %12zu %8.3f %9.3f %10.3f%s\n", routes, whole_bytes, change_bytes,
                read_ms, apply_ms, ms_since(start) * us_per_ms / look_ups,
                found == look_ups ? "" : "  (not all found)");
}

} // namespace

int main()
{
    std::printf("routes whole_bytes change_bytes  read_ms  apply_ms  look_up_us\n");
    for (const std::size_t routes : {100UL, 1'400UL, 10'000UL}) {
        measure(routes);
    }
    return 0;
}
