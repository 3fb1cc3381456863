#include "traffic/outcome.h"
#include "traffic/retry_budget.h"
#include "traffic/slot_pool.h"

#include <array>
#include <random>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

using snapshot_builder = boost::intrusive_ptr<routing_snapshot>;

snapshot_builder make_snapshot(std::uint32_t slots, std::size_t targets)
{
    snapshot_builder snapshot(new routing_snapshot);
    service_routes routes;
    for (std::size_t i = 0; i < targets; ++i) {
        routes.targets.push_back({target_id("t" + std::to_string(i)), {}, slots, 10, true, false});
    }
    snapshot->services.emplace("s", std::move(routes));
    return snapshot;
}

} // namespace

class slot_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_pool_test);
    CPPUNIT_TEST(never_gives_more_than_the_share);
    CPPUNIT_TEST(spreads_over_the_least_used);
    CPPUNIT_TEST(waiters_are_served_first_in_order);
    CPPUNIT_TEST(queue_is_bounded);
    CPPUNIT_TEST(unusable_and_excluded_targets_get_nothing);
    CPPUNIT_TEST(shared_targets_are_not_in_the_pool);
    CPPUNIT_TEST(share_holds_under_random_use);
    CPPUNIT_TEST(retries_are_limited_to_a_ratio_of_requests);
    CPPUNIT_TEST(refusals_have_statuses);
    CPPUNIT_TEST_SUITE_END();

public:
    void never_gives_more_than_the_share()
    {
        const auto pool = slot_pool::create();
        pool->apply(*make_snapshot(3, 1));
        const auto first = pool->try_take("s", {});
        CPPUNIT_ASSERT(first && pool->try_take("s", {}) && pool->try_take("s", {}));
        CPPUNIT_ASSERT(!pool->try_take("s", {}));
        CPPUNIT_ASSERT(!pool->try_take("other", {}));
        pool->give_back(*first);
        CPPUNIT_ASSERT(pool->try_take("s", {}));
        pool->apply(*make_snapshot(1, 1));
        pool->give_back(*first);
        CPPUNIT_ASSERT(!pool->try_take("s", {}));
    }

    void spreads_over_the_least_used()
    {
        const auto pool = slot_pool::create();
        pool->apply(*make_snapshot(2, 3));
        std::set<std::string> used;
        for (int i = 0; i < 3; ++i) {
            used.insert(pool->try_take("s", {})->target.value);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, used.size());
    }

    void waiters_are_served_first_in_order()
    {
        const auto pool = slot_pool::create();
        pool->apply(*make_snapshot(1, 1));
        const auto held = pool->try_take("s", {});
        slot_waiter first;
        slot_waiter second;
        int woken = 0;
        first.wake = second.wake = [&woken] { ++woken; };
        CPPUNIT_ASSERT(pool->enqueue("s", first) && pool->enqueue("s", second));
        pool->give_back(*held);
        CPPUNIT_ASSERT(first.granted && !second.granted && woken == 1);
        CPPUNIT_ASSERT(!pool->try_take("s", {}));
        pool->cancel("s", second);
        pool->give_back(*first.granted);
        CPPUNIT_ASSERT(!second.granted && pool->try_take("s", {}));
    }

    void queue_is_bounded()
    {
        const auto pool = slot_pool::create();
        pool->apply(*make_snapshot(1, 1));
        const auto held = pool->try_take("s", {});
        std::vector<slot_waiter> waiters(waiters_per_slot + 1);
        for (std::size_t i = 0; i < waiters_per_slot; ++i) {
            CPPUNIT_ASSERT(pool->enqueue("s", waiters[i]));
        }
        CPPUNIT_ASSERT(!pool->enqueue("s", waiters.back()));
        for (auto& waiter : waiters) {
            pool->cancel("s", waiter);
        }
    }

    void unusable_and_excluded_targets_get_nothing()
    {
        const auto pool = slot_pool::create();
        auto snapshot = make_snapshot(2, 2);
        snapshot->services.find("s")->second.targets[0].usable = false;
        pool->apply(*snapshot);
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), pool->try_take("s", {})->target.value);
        CPPUNIT_ASSERT(!pool->try_take("s", {target_id("t1")}));
        snapshot->services.find("s")->second.targets[1].usable = false;
        pool->apply(*snapshot);
        CPPUNIT_ASSERT(!pool->has_usable_target("s"));
    }

    /// Shared targets are chosen by placement and must not enter the pool: looking each one up for
    /// every snapshot took milliseconds with 924 targets.
    void shared_targets_are_not_in_the_pool()
    {
        const auto pool = slot_pool::create();
        const auto snapshot = make_snapshot(3, 2);
        snapshot->services["s"].are_targets_shared = true;
        pool->apply(*snapshot);
        CPPUNIT_ASSERT(!pool->has_usable_target("s"));
        CPPUNIT_ASSERT(!pool->try_take("s", {}));
    }

    void share_holds_under_random_use()
    {
        std::mt19937 random(9);
        const auto pool = slot_pool::create();
        std::vector<slot> held;
        std::uint32_t share = 3;
        for (int i = 0; i < 20'000; ++i) {
            if (random() % 200 == 0) {
                share = 1 + random() % 4;
                pool->apply(*make_snapshot(share, 4));
            }
            if (random() % 2 == 0) {
                if (const auto taken = pool->try_take("s", {})) {
                    CPPUNIT_ASSERT(pool->in_flight(taken->target) <= share);
                    held.push_back(*taken);
                }
            } else if (!held.empty()) {
                std::swap(held[random() % held.size()], held.back());
                pool->give_back(held.back());
                held.pop_back();
            }
        }
    }

    void retries_are_limited_to_a_ratio_of_requests()
    {
        const shared_budgets bounds;
        constexpr std::size_t hosts = 4;
        std::array<retry_budget, hosts> budgets;
        int retries = 0;
        for (int i = 0; i < 1'000; ++i) {
            auto& budget = budgets.at(static_cast<std::size_t>(i) % hosts);
            note_request(budget, bounds, hosts);
            while (take_retry(budget)) {
                ++retries;
            }
        }
        CPPUNIT_ASSERT(retries > 0);
        CPPUNIT_ASSERT(retries <= 1'000 * bounds.retry_ratio + bounds.retry_slack);
    }

    void refusals_have_statuses()
    {
        CPPUNIT_ASSERT_EQUAL(503U, status_of(result_code::no_free_slot));
        CPPUNIT_ASSERT_EQUAL(409U, status_of(result_code::claim_outcome_unknown));
        const auto body = refusal_body(result_code::key_missing, outcome::not_run);
        CPPUNIT_ASSERT(body.find("\"result\":4001") != std::string::npos);
        CPPUNIT_ASSERT(body.find("\"outcome\":\"not-run\"") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_pool_test);

} // namespace almondquay
