#include "control/fleet_world.h"

#include <algorithm>
#include <iostream>
#include <random>

#include <cppunit/extensions/HelperMacros.h>

namespace almondquay {

namespace {

constexpr auto first_fault = static_cast<int>(fleet_fault::lost);
constexpr auto last_fault = static_cast<int>(fleet_fault::last);
constexpr std::uint32_t matrix_steps = 30;

std::string describe(const fleet_fault_plan& plan)
{
    std::string words;
    for (const auto& [step, fault] : plan) {
        words +=
            " step " + std::to_string(step) + " fault " + std::to_string(static_cast<int>(fault));
    }
    return words;
}

struct matrix_total {
    std::uint64_t scenarios = 0;
    std::set<std::uint64_t> states;
    std::string first_violation;
};

void run(matrix_total& total, const fleet_fault_plan& plan)
{
    const auto report = run_fleet_scenario(plan);
    ++total.scenarios;
    total.states.insert(report.states.begin(), report.states.end());
    if (!report.violations.empty() && total.first_violation.empty()) {
        total.first_violation = report.violations.front() + " with" + describe(plan);
    }
}

void expect_clean(const std::string& name, const matrix_total& total)
{
    std::cout << name << ": " << total.scenarios << " scenarios, " << total.states.size()
              << " states visited\n";
    CPPUNIT_ASSERT_EQUAL(std::string(), total.first_violation);
}

} // namespace

class fleet_matrix_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_matrix_test);
    CPPUNIT_TEST(in_force_everywhere_within_two_seconds_without_faults);
    CPPUNIT_TEST(holds_under_every_single_fault);
    CPPUNIT_TEST(holds_under_pairs_of_faults);
    CPPUNIT_TEST(holds_under_random_plans);
    CPPUNIT_TEST_SUITE_END();

public:
    void in_force_everywhere_within_two_seconds_without_faults()
    {
        const auto report = run_fleet_scenario({});
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             report.violations.empty() ? std::string() : report.violations.front());
        std::cout << "steps " << report.steps << ", in force everywhere after "
                  << report.in_force_everywhere.count() << " ms\n";
        CPPUNIT_ASSERT(report.in_force_everywhere <= std::chrono::seconds(2));
    }

    void holds_under_every_single_fault()
    {
        matrix_total total;
        for (std::uint32_t step = 0; step < matrix_steps; ++step) {
            for (int fault = first_fault; fault <= last_fault; ++fault) {
                run(total, {{step, static_cast<fleet_fault>(fault)}});
            }
        }
        expect_clean("one fault", total);
    }

    /// Every pair of faults, with the second at every fifth step after the first.
    void holds_under_pairs_of_faults()
    {
        matrix_total total;
        for (std::uint32_t first = 0; first < matrix_steps; ++first) {
            for (std::uint32_t second = first + 1; second < matrix_steps; second += 5) {
                for (int a = first_fault; a <= last_fault; ++a) {
                    for (int b = first_fault; b <= last_fault; ++b) {
                        run(total, {{first, static_cast<fleet_fault>(a)},
                                    {second, static_cast<fleet_fault>(b)}});
                    }
                }
            }
        }
        expect_clean("two faults", total);
    }

    void holds_under_random_plans()
    {
        constexpr std::uint64_t seed = 4'112'026;
        std::cout << "seed " << seed << "\n";
        std::mt19937_64 random(seed);
        matrix_total total;
        for (int i = 0; i < 500; ++i) {
            fleet_fault_plan plan;
            for (std::uint64_t n = 3 + random() % 6; n > 0; --n) {
                plan[static_cast<std::uint32_t>(random() % 60)] = static_cast<fleet_fault>(
                    first_fault + static_cast<int>(random() % static_cast<unsigned>(last_fault)));
            }
            run(total, plan);
        }
        expect_clean("three to eight faults", total);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_matrix_test);

} // namespace almondquay
