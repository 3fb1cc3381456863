#pragma once

#include "claims/claim_effect.h"
#include "claims/claim_log.h"

#include <deque>
#include <functional>
#include <map>
#include <vector>

/// One log's writer: gathers what arrives while a write is under way into the next write.
namespace almondquay {

/// Hosts with the life in which they are.
using live_lives = std::map<host_id, incarnation>;

struct lane_id {
    bucket_number bucket;
    slice_number slice;

    auto operator<=>(const lane_id&) const = default;
};

/// A claim that waits to be made durable.
struct pending_want {
    claim_record claim;
    host_id reply_to;
    monotonic_time deadline{};
    bool is_settled_view = false; ///< the log has been read or written since this arrived
};

/// An outcome that waits to be made durable.
struct pending_outcome {
    outcome_record outcome;
    host_id reply_to;
};

enum class lane_stage {
    reading, ///< a read is under way
    ready,   ///< the whole log is known as of some moment
    writing, ///< a write is under way
    pausing, ///< the platform failed; the log is read again after a pause
};

struct claim_lane {
    lane_id id;
    claim_log log;
    lane_stage stage = lane_stage::pausing;
    std::deque<pending_want> wants;
    std::deque<pending_outcome> outcomes;
    std::vector<log_record> batch; ///< under way
    store_call call = 0;           ///< under way
    std::size_t batch_bytes = 0;
    bool outcomes_due = false; ///< outcomes wait for a claim's write, at most until the next tick
    unsigned failures = 0;
    monotonic_time retry_at{};
    monotonic_time last_used{};
};

/// More claims than this in one lane are refused at once.
constexpr std::size_t max_lane_wants = 2'048;
constexpr std::chrono::milliseconds shortest_lane_pause{50};
constexpr std::chrono::milliseconds longest_lane_pause{2'000};

struct lane_verdict {
    host_id to;
    claim_id id;
    claim_key key{};
    claim_verdict verdict;
};

struct lane_outcome_kept {
    host_id to;
    claim_id id;
};

/// What a lane wants done.
struct lane_output {
    store_call* next_call = nullptr; ///< the host's counter of calls
    claim_effects store;             ///< reads and writes only
    std::vector<lane_verdict> verdicts;
    std::vector<lane_outcome_kept> kept;
};

void add_want(claim_lane& lane, pending_want want, lane_output& out);
void add_outcome(claim_lane& lane, pending_outcome outcome);

/// Settles what can be settled and starts the next read or write if none is under way.
/// `alive` are the hosts whose claims may still be running.
void advance(claim_lane& lane, const live_lives& alive, monotonic_time now, lane_output& out);

void take_lane_read(claim_lane& lane, const result<stored_object>& object, monotonic_time now,
                    lane_output& out);
void take_lane_write(claim_lane& lane, const result<object_version>& version, monotonic_time now,
                     lane_output& out);

/// Gives up on expired claims and lets waiting outcomes go.
void tick_lane(claim_lane& lane, monotonic_time now, lane_output& out);

/// The object that the lane reads or writes at present.
std::string current_segment_key(const claim_lane& lane);

} // namespace almondquay
