#pragma once

#include "control/effect.h"
#include "control/event.h"
#include "control/state.h"

/// Finds dead hosts in large failure domains sooner than their beats stay out in gossip.
///
/// The hosts of a failure domain form a ring by hash. Each one asks its next neighbour for a sign
/// of life, and those after it while the neighbour does not answer. A neighbour that stays silent
/// is suspected: a few other hosts at a time are asked whether they can get a sign of life of it,
/// and only if none comes in time is it taken for dead. After A. Das, I. Gupta and A. Motivala,
/// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002.
namespace almondquay {

/// Failure domains with fewer hosts than this hear each other's beats soon enough.
constexpr std::size_t min_probed_hosts = 3;
/// Between two questions to the same neighbour.
constexpr std::chrono::milliseconds probe_interval{500};
/// A neighbour that is silent for this long lets the one after it be asked as well.
constexpr std::chrono::milliseconds neighbour_patience{700};
/// How long a neighbour may leave questions unanswered before it is suspected.
constexpr std::chrono::milliseconds silence_before_suspicion{1'000};
/// How long others may take to refute a suspicion.
constexpr std::chrono::milliseconds refutation_time{1'200};
constexpr std::size_t max_neighbours_asked = 4;
/// Asked anew as long as a suspicion stands, since each question takes four messages to be
/// answered.
constexpr std::size_t hosts_asked_to_refute = 3;
/// Between two rounds of such questions.
constexpr std::chrono::milliseconds refutation_interval{250};

/// Whether the own failure domain is large enough for its hosts to probe each other.
bool is_probed_domain(const control_state& state);

/// Asks the neighbours, suspects the silent ones and ends suspicions that nobody refuted.
/// Returns the hosts that are to be taken for dead.
std::vector<host_id> tick_probing(control_state& state, monotonic_time now, effects& out);

/// Answers questions for a sign of life, helps others to refute suspicions, and takes the message
/// as a sign of life of its sender.
void take_probe(control_state& state, const event& e, const gossip_message& message,
                const endpoint& peer, effects& out);

} // namespace almondquay
