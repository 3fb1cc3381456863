#pragma once

#include "claims/claim_effect.h"
#include "claims/claim_log.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

/// The writer of one claim log. Records that arrive while a write is in flight are batched into the
/// next write.
namespace almondquay {

/// The current incarnation of each live host.
using host_incarnations = std::map<host_id, incarnation>;

struct claim_log_id {
    bucket_number bucket;
    slice_number slice;

    auto operator<=>(const claim_log_id&) const = default;
};

/// A claim that is waiting to become durable.
struct queued_claim {
    claim_record claim;
    host_id reply_to;
    monotonic_time deadline{};
    bool is_log_refreshed = false; ///< the log has been read or written since the claim arrived
};

/// An outcome that is waiting to become durable.
struct queued_outcome {
    outcome_record outcome;
    host_id reply_to;
};

enum class writer_stage {
    reading,     ///< a read is in flight
    ready,       ///< the whole log has been read; the local copy may be outdated
    writing,     ///< a write is in flight
    backing_off, ///< backing off after a platform failure; the log is read again afterwards
};

struct claim_log_writer {
    claim_log_id id;
    claim_log log;
    writer_stage stage = writer_stage::backing_off;
    std::deque<queued_claim> queued_claims;
    std::deque<queued_outcome> outcomes;
    std::vector<log_record> batch; ///< the records of the write in flight
    store_call call = 0;           ///< the platform call in flight
    std::size_t batch_bytes = 0;
    /// Whether to write outcomes even if there is no claim to batch them with. Set on each tick, so
    /// an outcome waits for a claim until the next tick at most.
    bool outcomes_due = false;
    unsigned failures = 0;
    monotonic_time retry_at{};
    monotonic_time last_used{};
};

/// Queue limit of one log writer; further claims are refused at once.
constexpr std::size_t max_queued_claims = 2'048;
constexpr std::chrono::milliseconds min_retry_delay{50};
constexpr std::chrono::milliseconds max_retry_delay{2'000};

struct writer_verdict {
    host_id to;
    claim_id id;
    claim_key key{};
    claim_verdict verdict;
};

struct outcome_ack {
    host_id to;
    claim_id id;
};

/// What one step of a log writer produces.
struct writer_output {
    store_call* next_call = nullptr; ///< the host's counter of platform calls
    claim_effects store;             ///< reads and writes only
    std::vector<writer_verdict> verdicts;
    std::vector<outcome_ack> acks;
};

void enqueue_claim(claim_log_writer& writer, queued_claim queued, writer_output& out);
void enqueue_outcome(claim_log_writer& writer, queued_outcome outcome);

/// Answers what the local copy of the log allows and starts the next read or write if none is in
/// flight. `alive` are the hosts whose claims may still be running.
void advance(claim_log_writer& writer, const host_incarnations& alive, monotonic_time now,
             writer_output& out);

void handle_read(claim_log_writer& writer, const result<stored_object>& object, monotonic_time now,
                 writer_output& out);
void handle_write(claim_log_writer& writer, const result<object_version>& version,
                  monotonic_time now, writer_output& out);

/// Refuses claims past their deadline and makes pending outcomes due for writing.
void tick_writer(claim_log_writer& writer, monotonic_time now, writer_output& out);

/// The key of the segment object that is currently read or appended to.
std::string current_segment_key(const claim_log_writer& writer);

} // namespace almondquay
