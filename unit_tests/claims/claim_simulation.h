#pragma once

#include "claims/claim_reducer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// A deterministic simulation around the claim reducer: hosts, a platform, targets that count
/// executions, and callers that retry. Time is virtual.
namespace almondquay {

/// The faults that can be injected into one step, that is, into one effect in transit.
enum class claim_fault {
    none,
    lost_before,   ///< never arrives; the waiting side gets a timeout
    lost_after,    ///< takes effect, but its response is lost
    late,          ///< arrives long after the waiting side has timed out
    late_answer,   ///< takes effect immediately, but its response arrives after later ones
    twice,         ///< is delivered twice
    host_paused,   ///< the step's host is suspended for longer than any timeout
    host_replaced, ///< the step's host crashes and restarts with a new incarnation and no state
    platform_down, ///< the platform rejects all calls for 5 s, starting with this step
    domain_cut,    ///< the step's host is partitioned from peers and platform for 5 s
    last = domain_cut,
};

/// Maps step numbers to injected faults; steps are numbered in the order in which they start.
using fault_plan = std::map<std::uint32_t, claim_fault>;

/// The result of one scenario, as checked by the simulation.
struct claim_run_report {
    std::uint32_t steps = 0;
    std::vector<std::string> violations;
    std::uint32_t runs = 0;
    bool answered = false; ///< some caller got the response of the executed request
    bool last_answer_unknown = false;
    std::set<std::uint64_t> states; ///< hashes of the states visited
};

/// Runs the scenario: one key is sent to host 0 and retried through the other hosts, concurrently
/// and later, next to two other keys of the same log. Ends after all faults are over.
claim_run_report run_claim_scenario(const fault_plan& plan);

} // namespace almondquay
