#pragma once

#include "claims/claim_effect.h"
#include "claims/claim_lane.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

/// Work that must not repeat: decides who may run a key, once, and what a resend is told.
///
/// Right by construction: a claim is granted only after the log, which changes by conditional
/// updates alone, has it as the key's first. Owners of buckets only save the platform calls; two
/// hosts that both take themselves for the owner lose a conditional update and nothing else.
namespace almondquay {

/// What the claim reducer must know of the world.
struct claim_world {
    host_id self;
    incarnation life;
    live_lives alive;  ///< hosts whose claims may still be running, this one included
    live_lives owners; ///< those of them that are not leaving
};

struct waiting_claim {
    std::uint64_t request = 0;
    claim_record claim;
    monotonic_time deadline{};
    monotonic_time direct_at{}; ///< when to stop waiting for the owner and write by itself
    bool is_direct = false;
};

/// What this host itself knows of a key that it was granted.
struct own_claim {
    claim_id id;
    std::uint64_t digest = 0;
    std::optional<outcome_record> outcome;
};

struct unsaved_outcome {
    outcome_record outcome;
    monotonic_time next_send{};
};

struct claim_state {
    claim_number next_number = 1;
    store_call next_call = 1;
    std::map<lane_id, claim_lane> lanes;
    std::map<claim_number, waiting_claim> waiting;
    std::map<claim_number, claim_record> running;
    std::map<claim_key, own_claim> own;
    std::deque<claim_key> own_order; ///< oldest first
    std::map<claim_number, unsaved_outcome> unsaved;
    std::set<claim_number> refused; ///< answered otherwise than by a grant; they never run
};

/// How long a host waits for a bucket's owner before it writes the claim by itself.
constexpr std::chrono::milliseconds owner_patience{400};
/// A claim that is not durable by then is refused, so that its request still has time to run.
constexpr std::chrono::milliseconds claim_patience{2'000};
constexpr std::chrono::milliseconds outcome_resend_interval{500};
/// Own claims and unsaved outcomes kept in memory; beyond, the oldest are left to the log, and
/// resends of lost ones end as unknown.
constexpr std::size_t max_own_claims = 20'000;
constexpr std::chrono::seconds lane_idle_limit{120};

/// Changes the state by one event and returns what is to be done.
claim_effects reduce_claims(claim_state& state, const claim_world& world, const claim_event& e,
                            monotonic_time now, wall_time wall);

/// The bucket's owner among `hosts`, by rendezvous hashing; empty if there is none.
host_id owner_of(bucket_number bucket, const live_lives& hosts);

} // namespace almondquay
