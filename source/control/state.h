#pragma once

#include "claims/claim_reducer.h"
#include "common/hybrid_clock.h"
#include "config/fleet.h"
#include "config/fleet_envelope.h"
#include "peer/crash_evidence.h"
#include "platform/object_store.h"
#include "steering/block_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// All control state of one host. Only the reducer changes it.
namespace almondquay {

/// What the process learned from its settings.
struct host_identity {
    host_id host;
    failure_domain_id domain;
    incarnation life;
    std::vector<endpoint> seeds;
};

struct member {
    incarnation life;
    std::uint64_t beat = 0;
    bool leaving = false;
    bool alive = false;
    bool death_is_told = false;    ///< by a host of its own domain, which hears its beats directly
    monotonic_time last_advance{}; ///< when (life, beat) last became newer here
};

struct membership_state {
    std::map<host_id, member> members; ///< other hosts only
    std::uint64_t own_beat = 0;
    monotonic_time last_tick{};
    double gossip_credit = 0;       ///< bytes that may be sent now
    std::uint64_t gossip_turns = 0; ///< messages sent, which decides whose turn it is
    std::string last_change;        ///< id of the decision that last changed who is alive
};

struct fleet_state {
    std::optional<fleet_envelope> envelope;
    fleet text;
    block_table_ptr blocks;
    std::uint64_t fingerprint = 0;
    wall_time since{};
    std::string adopted_by; ///< id of the decision that put it in force
    object_version platform_version = 0;
    bool platform_answered = false; ///< at least once, or given up on for now
    bool platform_reachable = false;
    bool watch_running = false;
    bool write_running = false;
    unsigned failures = 0; ///< platform calls failed in a row
    monotonic_time next_watch{};
    std::set<generation> refused;        ///< generations whose text could not be read
    std::optional<generation> disagreed; ///< the generation a conflict was last recorded for
};

struct target_health {
    bool usable = true;
    unsigned failures = 0;
    unsigned good_probes = 0;
    bool refuses = false; ///< the latest failure was a connection that was not taken
    bool probe_running = false;
    monotonic_time next_probe{};
    std::string decided_by; ///< id of the decision that set `usable`
};

/// A request that was in flight when targets crashed.
struct suspect {
    std::string description;
    std::set<target_id> targets; ///< that crashed
    monotonic_time latest{};
};

struct quarantined_request {
    std::string description;
    monotonic_time until{};
    std::string decided_by;
};

enum class life_stage { starting, serving, leaving, ending };

struct control_state {
    host_identity self;
    fleet_state fleet;
    membership_state membership;
    std::map<target_id, target_health> targets;
    std::map<request_fingerprint, suspect> suspects;
    std::map<request_fingerprint, quarantined_request> quarantined;
    claim_state claims;
    claim_world claim_view; ///< who is alive, for the claims; renewed with each snapshot
    life_stage stage = life_stage::starting;
    monotonic_time leave_deadline{}; ///< when callers have forgotten this host
    std::string stop_decision;
    hybrid_time clock;
    std::uint64_t decisions = 0;
    std::mt19937_64 random;
    bool snapshot_is_stale = false;
};

} // namespace almondquay
