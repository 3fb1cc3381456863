#include "control/reducer.h"
#include "control/snapshot_builder.h"
#include "traffic/slot_pool.h"

#include <chrono>
#include <cstdio>
#include <string>

/// Measures the time, in ms, that one host of a large fleet spends on another host's restart, on a
/// tick and on applying a snapshot to its slot pool, when the targets are listed by the store.
namespace {

using namespace almondquay;
using std::chrono::milliseconds;

constexpr std::size_t domains = 9;
constexpr int rounds = 50;

std::variant<fleet, diagnostics> parse_parts(const part_texts& parts)
{
    fleet f;
    for (const auto& [name, text] : parts) {
        if (name.starts_with("service/")) {
            service s;
            s.id.value = "s";
            f.services.emplace(s.id, s);
        }
    }
    return f;
}

result<fleet_parts> split_text(std::string_view /*text*/)
{
    fleet_parts parts;
    set_part(parts, "service/s", "s");
    return parts;
}

event at(milliseconds now, event_body body)
{
    return {std::move(body), monotonic_time(now), wall_time(now)};
}

std::string domain_name(std::size_t n)
{
    return "d" + std::to_string(n % domains);
}

host make_host(std::size_t n)
{
    const auto address = "10.0." + std::to_string(n / 250) + "." + std::to_string(n % 250);
    return {host_id("edge-" + domain_name(n) + "-" + std::to_string(n / domains)),
            failure_domain_id(domain_name(n)),
            {address, 7000},
            {address, 7001}};
}

registered_target make_target(std::size_t n)
{
    registered_target t;
    t.definition.id.value = "i-" + std::to_string(100'000 + n);
    t.definition.serves.value = "s";
    t.definition.domain.value = domain_name(n);
    t.definition.address = {"10.9.0.1", static_cast<std::uint16_t>(9'000 + n)};
    t.definition.life.value = 1;
    t.definition.slots.value = 3;
    return t;
}

gossip_message heartbeat_message(std::size_t n, std::uint64_t life, std::uint64_t beat)
{
    gossip_message message;
    message.from = make_host(1).id;
    message.heartbeats.push_back({make_host(n).id, incarnation(life), beat, false, false, false});
    return message;
}

control_state serving_state(std::size_t hosts, std::size_t targets)
{
    host_identity self;
    self.registration = make_host(0);
    self.host = self.registration.id;
    self.domain = self.registration.domain;
    self.life = incarnation(1);
    self.has_inventory = true;
    self.codec = {split_text, nullptr, parse_parts};
    inventory_copy copy;
    copy.at.fill(store_revision{10});
    copy.at.at(static_cast<std::size_t>(inventory_kind::configuration)) = {};
    for (std::size_t n = 0; n < hosts; ++n) {
        self.domains[make_host(n).domain] = region_id("r" + std::to_string(n % domains % 3));
        copy.hosts.push_back(make_host(n));
    }
    for (std::size_t n = 0; n < targets; ++n) {
        copy.targets.push_back(make_target(n));
    }
    auto state = make_control_state(self, 1);
    reduce(state, at(milliseconds(1), tick_event{}));
    fleet_envelope text;
    text.number = generation(1);
    reduce(state, at(milliseconds(2), peer_fleet_event{"peer", text}));
    reduce(state, at(milliseconds(3), peer_inventory_event{"peer", copy}));
    for (std::size_t n = 1; n < hosts; ++n) {
        reduce(state, at(milliseconds(4), gossip_event{heartbeat_message(n, 1, 1)}));
    }
    return state;
}

template <class Action> double ms_each(Action&& action)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i) {
        action(i);
    }
    const std::chrono::duration<double, std::milli> taken =
        std::chrono::steady_clock::now() - start;
    return taken.count() / rounds;
}

void measure(std::size_t hosts, std::size_t targets)
{
    auto state = serving_state(hosts, targets);
    const auto change = ms_each([&](int i) {
        const auto n = static_cast<std::size_t>(i) % (hosts - 1) + 1;
        const auto life = static_cast<std::uint64_t>(i) + 2;
        reduce(state, at(milliseconds(10), gossip_event{heartbeat_message(n, life, 1)}));
    });
    const auto tick =
        ms_each([&](int i) { reduce(state, at(milliseconds(20 + i), tick_event{})); });
    const auto pool = slot_pool::create();
    const auto snapshot = build_snapshot(state);
    const auto apply = ms_each([&](int /*i*/) { pool->apply(*snapshot); });
    std::printf("%5zu %7zu %14.3f %8.3f %9.3f\n", hosts, targets, change, tick, apply);
}

} // namespace

int main()
{
    std::printf("hosts targets host_change_ms  tick_ms  slots_ms\n");
    measure(12, 44);
    measure(64, 282);
    measure(195, 990);
    measure(800, 3'200);
    return 0;
}
