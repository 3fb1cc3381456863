#include "claims/claim_simulation.h"

#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

constexpr auto first_fault = static_cast<int>(claim_fault::lost_before);
constexpr auto last_fault = static_cast<int>(claim_fault::last);
/// Number of steps that the fault-free scenario takes until its first outcomes are durable; later
/// steps only repeat the same kinds.
constexpr std::uint32_t matrix_steps = 24;

/// Aggregated results of all scenarios of one test.
struct matrix_report {
    std::uint64_t scenarios = 0;
    std::uint64_t answered = 0;
    std::uint64_t never_ran = 0;
    std::set<std::uint64_t> states;
    std::vector<std::string> violations;
};

std::string describe(const fault_plan& plan)
{
    std::string text;
    for (const auto& [step, fault] : plan) {
        text +=
            " step " + std::to_string(step) + " fault " + std::to_string(static_cast<int>(fault));
    }
    return text;
}

void add(matrix_report& total, const fault_plan& plan, const claim_run_report& one)
{
    ++total.scenarios;
    total.answered += one.answered ? 1 : 0;
    total.never_ran += one.runs == 0 ? 1 : 0;
    total.states.insert(one.states.begin(), one.states.end());
    for (const auto& violation : one.violations) {
        total.violations.push_back(violation + " with" + describe(plan));
    }
}

/// Runs all plans on a thread pool; the result does not depend on the number of threads.
matrix_report run_all(const std::vector<fault_plan>& plans)
{
    constexpr std::size_t threads = 4;
    matrix_report total;
    std::mutex mutex;
    std::vector<std::thread> pool;
    for (std::size_t t = 0; t < threads; ++t) {
        pool.emplace_back([&, t] {
            matrix_report part;
            for (std::size_t i = t; i < plans.size(); i += threads) {
                add(part, plans[i], run_claim_scenario(plans[i]));
            }
            const std::scoped_lock lock(mutex);
            total.scenarios += part.scenarios;
            total.answered += part.answered;
            total.never_ran += part.never_ran;
            total.states.merge(part.states);
            total.violations.insert(total.violations.end(), part.violations.begin(),
                                    part.violations.end());
        });
    }
    for (auto& thread : pool) {
        thread.join();
    }
    return total;
}

std::vector<fault_plan> single_faults()
{
    std::vector<fault_plan> plans;
    for (std::uint32_t step = 0; step < matrix_steps; ++step) {
        for (int fault = first_fault; fault <= last_fault; ++fault) {
            plans.push_back({{step, static_cast<claim_fault>(fault)}});
        }
    }
    return plans;
}

std::vector<fault_plan> double_faults()
{
    std::vector<fault_plan> plans;
    for (const auto& first : single_faults()) {
        for (std::uint32_t step = first.begin()->first + 1; step < matrix_steps; ++step) {
            for (int fault = first_fault; fault <= last_fault; ++fault) {
                auto plan = first;
                plan[step] = static_cast<claim_fault>(fault);
                plans.push_back(std::move(plan));
            }
        }
    }
    return plans;
}

void expect_clean(const std::string& name, const matrix_report& report)
{
    std::cout << name << ": " << report.scenarios << " scenarios, " << report.states.size()
              << " states visited, work answered in " << report.answered << ", never ran in "
              << report.never_ran << ", " << report.violations.size() << " violations\n";
    const auto first = report.violations.empty() ? std::string() : report.violations.front();
    CPPUNIT_ASSERT_EQUAL(std::string(), first);
}

} // namespace

class claim_matrix_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(claim_matrix_test);
    CPPUNIT_TEST(runs_once_without_faults);
    CPPUNIT_TEST(late_claim_of_a_refused_request_is_released);
    CPPUNIT_TEST(holds_under_every_single_fault);
    CPPUNIT_TEST(holds_under_every_pair_of_faults);
    CPPUNIT_TEST(holds_under_random_plans);
    CPPUNIT_TEST_SUITE_END();

public:
    void runs_once_without_faults()
    {
        const auto report = run_claim_scenario({});
        std::cout << "steps without faults: " << report.steps << "\n";
        CPPUNIT_ASSERT(report.violations.empty());
        CPPUNIT_ASSERT_EQUAL(1U, report.runs);
        CPPUNIT_ASSERT(report.answered);
    }

    /// Regression test, found by the random fault plans: a claim that reached the owner after its
    /// request had already been refused became durable and reserved a key that was never run.
    void late_claim_of_a_refused_request_is_released()
    {
        const fault_plan plan{{0, claim_fault::late_answer},    {5, claim_fault::host_replaced},
                              {7, claim_fault::domain_cut},     {21, claim_fault::twice},
                              {35, claim_fault::host_replaced}, {39, claim_fault::lost_before}};
        expect_clean("late claim", run_all({plan}));
    }

    void holds_under_every_single_fault() { expect_clean("one fault", run_all(single_faults())); }

    void holds_under_every_pair_of_faults()
    {
        expect_clean("two faults", run_all(double_faults()));
    }

    void holds_under_random_plans()
    {
        constexpr std::uint64_t seed = 20'261'204;
        constexpr int plan_count = 4'000;
        std::cout << "seed " << seed << "\n";
        std::mt19937_64 random(seed);
        std::vector<fault_plan> plans(plan_count);
        for (auto& plan : plans) {
            const auto faults = 3 + random() % 6;
            for (std::uint64_t i = 0; i < faults; ++i) {
                const auto fault = first_fault + random() % static_cast<unsigned>(last_fault);
                plan[static_cast<std::uint32_t>(random() % 60)] = static_cast<claim_fault>(fault);
            }
        }
        expect_clean("three to eight faults", run_all(plans));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_matrix_test);

} // namespace almondquay
