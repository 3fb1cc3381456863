#pragma once

#include "claims/claim_reducer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// A small world for the claim reducer: hosts, a platform, targets that count their runs, and
/// callers that send again. Time is virtual and every run is repeatable.
namespace almondquay {

/// What can happen to one step, that is to one effect on its way.
enum class claim_fault {
    none,
    lost_before,   ///< never arrives; whoever waits hears of it after a timeout
    lost_after,    ///< takes effect, but its answer is lost
    late,          ///< arrives long after whoever waits has given up
    late_answer,   ///< takes effect at once, its answer crosses later ones
    twice,         ///< arrives twice
    host_paused,   ///< the step's host stops for longer than any timeout, then goes on
    host_replaced, ///< the step's host dies and a new life with nothing kept takes its place
    platform_down, ///< the platform refuses everything for a while from this step on
    domain_cut,    ///< the step's host reaches neither peers nor platform for a while
    last = domain_cut,
};

/// Which step meets which fault; steps are numbered in the order in which they start.
using fault_plan = std::map<std::uint32_t, claim_fault>;

/// What the oracle found.
struct claim_run_report {
    std::uint32_t steps = 0;
    std::vector<std::string> violations;
    std::uint32_t runs = 0;
    bool answered = false; ///< some caller got the work's answer
    bool last_word_unknown = false;
    std::set<std::uint64_t> states; ///< fingerprints of the states visited
};

/// Runs the scenario: one key sent to host 0, resent in parallel and later through the others,
/// beside a second key of the same log. Ends after all faults have passed.
claim_run_report run_claim_scenario(const fault_plan& plan);

} // namespace almondquay
