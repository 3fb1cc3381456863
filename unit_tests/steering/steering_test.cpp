#include "config/fleet_text.h"
#include "steering/block_table.h"
#include "steering/lookup_plan.h"
#include "steering/routing_snapshot.h"
#include "steering/slot_share.h"

#include <algorithm>
#include <array>
#include <random>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

std::string dotted(std::uint32_t address)
{
    return std::to_string(address >> 24U) + "." + std::to_string(address >> 16U & 255U) + "." +
           std::to_string(address >> 8U & 255U) + "." + std::to_string(address & 255U);
}

struct plain_block {
    std::uint32_t first = 0;
    unsigned bits = 0;
    std::string region;
};

/// Reference implementation by linear search: the longest block that contains the address.
std::string longest_match(const std::vector<plain_block>& blocks, std::uint32_t address)
{
    std::string best;
    int best_bits = -1;
    for (const auto& b : blocks) {
        const auto mask = b.bits == 0 ? 0U : ~0U << (32U - b.bits);
        if ((address & mask) == (b.first & mask) && static_cast<int>(b.bits) >= best_bits) {
            best = b.region;
            best_bits = static_cast<int>(b.bits);
        }
    }
    return best;
}

fleet sample_fleet()
{
    return std::get<fleet>(parse_fleet(R"([fleet]
name = f
[region west]
[region east]
[region far]
[link west east]
limit_mbit = 100
[failure_domain w]
region = west
[failure_domain e]
region = east
[failure_domain x]
region = far
[host w1]
failure_domain = w
address = 127.0.1.1
[host w2]
failure_domain = w
address = 127.0.1.2
[host e1]
failure_domain = e
address = 127.0.2.1
[host x1]
failure_domain = x
address = 127.0.3.1
[service base]
[service top]
depends_on = base
[target b]
service = base
failure_domain = e
address = 127.1.2.1:9000
[target tw]
service = top
failure_domain = w
address = 127.1.1.2:9000
[target tx]
service = top
failure_domain = x
address = 127.1.3.2:9000
)",
                                       "f"));
}

availability_view all_hosts_live()
{
    availability_view availability;
    for (const auto* name : {"w1", "w2", "e1", "x1"}) {
        availability.live_hosts.insert(host_id(name));
    }
    return availability;
}

std::string chosen(const fleet& f, const availability_view& availability, const char* service,
                   const char* near)
{
    std::string text;
    for (const auto& c : choose_hosts(f, make_capacity_index(f, availability), service_id(service),
                                      region_id(near))) {
        text += c.entry->id.value + ":" + std::to_string(c.weight) + " ";
    }
    return text;
}

} // namespace

class steering_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(steering_test);
    CPPUNIT_TEST(block_table_finds_the_longest_match);
    CPPUNIT_TEST(shares_add_up_to_the_whole);
    CPPUNIT_TEST(shares_are_balanced_over_hosts);
    CPPUNIT_TEST(lookups_return_the_nearest_domain_that_can_serve);
    CPPUNIT_TEST(domain_needs_reachable_dependencies);
    CPPUNIT_TEST(drained_and_dead_hosts_are_removed_from_lookups);
    CPPUNIT_TEST(leaving_and_removed_targets_are_not_usable);
    CPPUNIT_TEST_SUITE_END();

public:
    void block_table_finds_the_longest_match()
    {
        std::mt19937 random(5);
        constexpr std::array<const char*, 4> regions{"a", "b", "c", "d"};
        for (int round = 0; round < 50; ++round) {
            std::vector<plain_block> plain;
            std::vector<caller_block> blocks;
            for (int i = 0; i < 60; ++i) {
                const unsigned bits = round % 5 == 0 ? random() % 33 : 24 + random() % 9;
                const auto first = static_cast<std::uint32_t>(0x7f000000U + random() % 4'096);
                const std::string region = regions[random() % regions.size()];
                plain.push_back({first, bits, region});
                blocks.push_back({dotted(first) + "/" + std::to_string(bits), region_id(region)});
            }
            const auto table = make_block_table(blocks);
            for (int i = 0; i < 400; ++i) {
                const auto address = static_cast<std::uint32_t>(0x7f000000U + random() % 4'200);
                const auto* found = find_region(*table, dotted(address));
                const auto expected = longest_match(plain, address);
                CPPUNIT_ASSERT_EQUAL(expected, found == nullptr ? std::string() : found->value);
            }
        }
    }

    void shares_add_up_to_the_whole()
    {
        std::mt19937 random(6);
        for (int i = 0; i < 1'000; ++i) {
            const auto whole = static_cast<std::uint32_t>(random() % 500);
            const std::size_t hosts = 1 + random() % 25;
            const std::size_t first = random();
            std::uint32_t sum = 0;
            for (std::size_t position = 0; position < hosts; ++position) {
                sum += share_of(whole, first, position, hosts);
            }
            CPPUNIT_ASSERT_EQUAL(whole, sum);
        }
    }

    /// Regression test, found by picking_benchmark: shares that started at a hash of the target's
    /// name gave one of 20 hosts too few of 40 targets' slots, and its queue grew without bound.
    void shares_are_balanced_over_hosts()
    {
        for (const std::size_t hosts : {2, 3, 7, 20}) {
            std::vector<std::uint32_t> sums(hosts);
            for (std::size_t target = 0; target < 40; ++target) {
                for (std::size_t position = 0; position < hosts; ++position) {
                    sums[position] += share_of(3, 3 * target, position, hosts);
                }
            }
            const auto [least, most] = std::ranges::minmax(sums);
            CPPUNIT_ASSERT(most - least <= 1);
        }
    }

    void lookups_return_the_nearest_domain_that_can_serve()
    {
        const auto f = sample_fleet();
        CPPUNIT_ASSERT_EQUAL(std::string("w1:1 w2:1 "), chosen(f, all_hosts_live(), "top", "west"));
        CPPUNIT_ASSERT_EQUAL(std::string("e1:3 "), chosen(f, all_hosts_live(), "base", "west"));
    }

    void domain_needs_reachable_dependencies()
    {
        // Domain x has a target of "top" but no link to where "base" runs.
        const auto f = sample_fleet();
        CPPUNIT_ASSERT_EQUAL(0U, usable_slots(f, make_capacity_index(f, all_hosts_live()),
                                              failure_domain_id("x"), service_id("top")));
        auto availability = all_hosts_live();
        availability.dead_targets.insert(target_id("b"));
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(f, availability, "top", "west"));
    }

    void drained_and_dead_hosts_are_removed_from_lookups()
    {
        const auto f = sample_fleet();
        auto availability = all_hosts_live();
        availability.live_hosts.erase(host_id("w1"));
        CPPUNIT_ASSERT_EQUAL(std::string("w2:3 "), chosen(f, availability, "top", "west"));
        set_drain(availability.drains, {drain_kind::host, "w2"}, true);
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(f, availability, "top", "west"));
        availability = all_hosts_live();
        set_drain(availability.drains, {drain_kind::region, "east"}, true);
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(f, availability, "base", "east"));
    }

    void leaving_and_removed_targets_are_not_usable()
    {
        routing_snapshot snapshot;
        service_routes routes;
        routes.targets.resize(2);
        routes.targets[0].id.value = "serves";
        routes.targets[0].usable = true;
        routes.targets[1].id.value = "leaves";
        snapshot.services.emplace("s", routes);
        CPPUNIT_ASSERT(is_usable(snapshot, "s", target_id("serves")));
        CPPUNIT_ASSERT(!is_usable(snapshot, "s", target_id("leaves")));
        CPPUNIT_ASSERT(!is_usable(snapshot, "s", target_id("gone")));
        CPPUNIT_ASSERT(!is_usable(snapshot, "other", target_id("serves")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(steering_test);

} // namespace almondquay
