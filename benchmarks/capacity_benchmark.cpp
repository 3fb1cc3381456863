#include "config/fleet_text.h"
#include "control/membership.h"
#include "control/reducer.h"
#include "control/snapshot_builder.h"
#include "steering/block_table.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <string>

#include <malloc.h>

/// Measures how the costs of one host's control state grow with the fleet: adopting a fleet text,
/// building a snapshot, a tick with its gossip, and a block table. Prints CSV.
namespace {

using namespace almondquay;
using clock_type = std::chrono::steady_clock;

struct fleet_size {
    int hosts = 0;
    int domains = 0;
    int regions = 0;
    int services = 0;
    int targets = 0;
};

double microseconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::micro>(clock_type::now() - start).count();
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

std::string address(int network, int n)
{
    return "127." + std::to_string(network + n / 62'500) + "." + std::to_string(n / 250 % 250) +
           "." + std::to_string(1 + n % 250);
}

std::string make_text(const fleet_size& size)
{
    std::string text = "[fleet]\nname = size\n";
    for (int r = 0; r < size.regions; ++r) {
        text += "[region r" + std::to_string(r) + "]\n";
        for (int other = 0; other < r; ++other) {
            text += "[link r" + std::to_string(other) + " r" + std::to_string(r) +
                    "]\nlimit_mbit = 4000\n";
        }
    }
    for (int d = 0; d < size.domains; ++d) {
        text += "[failure_domain d" + std::to_string(d) + "]\nregion = r" +
                std::to_string(d % size.regions) + "\n";
    }
    for (int h = 0; h < size.hosts; ++h) {
        text += "[host h" + std::to_string(h) + "]\nfailure_domain = d" +
                std::to_string(h % size.domains) + "\naddress = " + address(10, h) + "\n";
    }
    for (int s = 0; s < size.services; ++s) {
        text += "[service s" + std::to_string(s) + "]\n";
    }
    for (int t = 0; t < size.targets; ++t) {
        text += "[target t" + std::to_string(t) + "]\nservice = s" +
                std::to_string(t % size.services) + "\nfailure_domain = d" +
                std::to_string(t / size.services % size.domains) +
                "\naddress = " + address(100, t) + ":9000\n";
    }
    return text;
}

event at(std::int64_t ms, event_body body)
{
    return {std::move(body), monotonic_time(std::chrono::milliseconds(ms)),
            wall_time(std::chrono::milliseconds(ms))};
}

/// Delivers the heartbeats of all hosts, as a host would receive them within a few gossip rounds.
void deliver_heartbeats(control_state& state, std::uint64_t beat, std::int64_t ms)
{
    gossip_message message;
    message.from = host_id("h1");
    message.in_force = generation(1);
    for (const auto& [id, h] : state.fleet.configuration.hosts) {
        message.heartbeats.push_back({id, incarnation(1), beat, false, false});
    }
    reduce(state, at(ms, gossip_event{std::move(message)}));
}

/// Measures the mean gossip payload that a tick sends, and the mean time of a tick with encoding
/// its messages and receiving the other hosts' heartbeats.
void measure_ticks(control_state& state, double& bytes, double& us)
{
    constexpr int rounds = 40;
    const shared_secret secret{"a secret for measuring"};
    std::size_t sent = 0;
    const auto start = clock_type::now();
    for (int i = 1; i <= rounds; ++i) {
        for (const auto& e : reduce(state, at(1'000 + 250 * i, tick_event{}))) {
            if (const auto* gossip = std::get_if<send_gossip_effect>(&e)) {
                sent += encode(gossip->message, secret).size();
            }
        }
        deliver_heartbeats(state, static_cast<std::uint64_t>(i) + 1, 1'000 + 250 * i);
    }
    us = microseconds_since(start) / rounds;
    bytes = static_cast<double>(sent) / rounds;
}

void measure_fleet(const fleet_size& size)
{
    const auto text = make_text(size);
    const auto before = heap_bytes();
    const fleet_envelope envelope{generation(1), text, {}, "op", "why", 0};
    auto state =
        make_control_state({host_id("h0"), failure_domain_id("d0"), incarnation(1), {}}, 1);
    auto start = clock_type::now();
    const auto out =
        reduce(state, at(1'000, fleet_read_event{stored_object{"fleet", 1, encode(envelope)}}));
    const auto adopt_us = microseconds_since(start);
    deliver_heartbeats(state, 1, 1'000);
    const auto after = heap_bytes();
    start = clock_type::now();
    const auto snapshot = build_snapshot(state);
    const auto snapshot_us = microseconds_since(start);
    double bytes = 0;
    double tick_us = 0;
    measure_ticks(state, bytes, tick_us);
    std::cout << "fleet," << size.hosts << ',' << size.domains << ',' << size.targets << ','
              << text.size() << ',' << adopt_us << ',' << snapshot_us << ',' << tick_us << ','
              << bytes << ',' << after - before << '\n';
}

std::vector<caller_block> make_blocks(int count, int sites)
{
    std::mt19937 random(1);
    std::vector<caller_block> blocks;
    blocks.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        const auto n = static_cast<std::uint32_t>(random());
        const auto bits = 16 + random() % 9;
        blocks.push_back(
            {std::to_string(n >> 24U) + "." + std::to_string(n >> 16U & 255U) + "." +
                 std::to_string(n >> 8U & 255U) + ".0/" + std::to_string(bits),
             region_id("site-" + std::to_string(random() % static_cast<unsigned>(sites)))});
    }
    return blocks;
}

void measure_blocks(int count)
{
    constexpr int sites = 140;
    constexpr int lookups = 1'000'000;
    const auto blocks = make_blocks(count, sites);
    auto before = heap_bytes();
    auto start = clock_type::now();
    const auto table = make_block_table(blocks);
    const auto build_us = microseconds_since(start);
    const auto bytes = heap_bytes() - before;
    std::mt19937 random(2);
    std::vector<std::string> callers;
    for (int i = 0; i < 1'000; ++i) {
        const auto n = static_cast<std::uint32_t>(random());
        callers.push_back(std::to_string(n >> 24U) + "." + std::to_string(n >> 16U & 255U) + "." +
                          std::to_string(n >> 8U & 255U) + "." + std::to_string(n & 255U));
    }
    std::size_t found = 0;
    start = clock_type::now();
    for (int i = 0; i < lookups; ++i) {
        found +=
            find_region(*table, callers[static_cast<std::size_t>(i) % callers.size()]) != nullptr;
    }
    const auto lookup_ns = microseconds_since(start) * 1'000 / lookups;
    std::cout << "blocks," << count << ',' << table->starts.size() << ',' << bytes << ','
              << build_us << ',' << lookup_ns << ',' << found << '\n';
}

} // namespace

int main()
{
    std::cout << "kind,hosts,domains,targets,text_bytes,adopt_us,snapshot_us,tick_us,"
                 "gossip_bytes_per_tick,state_bytes\n";
    for (const auto& size :
         {fleet_size{12, 6, 3, 2, 47}, fleet_size{100, 10, 5, 4, 400},
          fleet_size{400, 20, 11, 8, 1'600}, fleet_size{800, 40, 11, 16, 3'200}}) {
        measure_fleet(size);
    }
    std::cout << "kind,blocks,ranges,bytes,build_us,lookup_ns,found\n";
    for (const int count : {10'000, 100'000, 300'000, 590'000}) {
        measure_blocks(count);
    }
    return 0;
}
