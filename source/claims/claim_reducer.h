#pragma once

#include "claims/claim_effect.h"
#include "claims/claim_log_writer.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

/// At-most-once execution of non-repeatable requests: decides which host may run a key and how
/// retries of the same key are answered.
///
/// Safety rests on the log alone: a claim is granted only after it is durable in the log as the
/// key's first, and the log changes by conditional updates only. Bucket owners merely reduce
/// platform calls: if two hosts both act as the owner, the conditional update of one of them fails
/// and it reads the log again.
namespace almondquay {

/// This host's identity and its view of the live hosts.
struct claim_membership {
    host_id self;
    incarnation life;
    host_incarnations alive;  ///< hosts whose claims may still be running, this one included
    host_incarnations owners; ///< the hosts in `alive` that are not leaving
};

/// A request whose claim has not been decided yet.
struct waiting_claim {
    std::uint64_t request = 0;
    claim_record claim;
    monotonic_time deadline{};
    monotonic_time direct_at{}; ///< when to write to the log without waiting for the owner
    bool is_direct = false;     ///< this host writes the claim to the log itself
};

/// Local record of a key that was granted to this host.
struct own_claim {
    claim_id id;
    std::uint64_t digest = 0;
    std::optional<outcome_record> outcome;
};

/// An outcome that has not been acknowledged as durable yet; it is sent again until it is.
struct unsaved_outcome {
    outcome_record outcome;
    monotonic_time next_send{};
};

struct claim_state {
    claim_number next_number = 1;
    store_call next_call = 1;
    std::map<claim_log_id, claim_log_writer> writers;
    std::map<claim_number, waiting_claim> waiting;
    std::map<claim_number, claim_record> running;
    std::map<claim_key, own_claim> own;
    std::deque<claim_key> own_order; ///< oldest first
    std::map<claim_number, unsaved_outcome> unsaved;
    std::set<claim_number> refused; ///< claims resolved without a grant; they never run
};

/// How long a host waits for a bucket's owner before it writes the claim to the log itself.
constexpr std::chrono::milliseconds owner_timeout{400};
/// A claim that is not durable within this time is refused, so that the wait does not use up the
/// request's time to run.
constexpr std::chrono::milliseconds claim_timeout{2'000};
constexpr std::chrono::milliseconds outcome_resend_interval{500};
/// Limit of own claims and of unsaved outcomes in memory. Beyond it the oldest are dropped. Retries
/// of a dropped claim are decided from the log alone; retries of a key whose outcome was dropped
/// get claim_outcome_unknown.
constexpr std::size_t max_own_claims = 20'000;
constexpr std::chrono::seconds writer_idle_timeout{120};

/// Applies one event to the state and returns the resulting effects.
claim_effects reduce_claims(claim_state& state, const claim_membership& membership,
                            const claim_event& e, monotonic_time now, wall_time wall);

/// The bucket's owner among `hosts`, by rendezvous hashing; empty if there is none.
host_id owner_of(bucket_number bucket, const host_incarnations& hosts);

} // namespace almondquay
