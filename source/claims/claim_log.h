#pragma once

#include "claims/claim_record.h"
#include "store/object_store.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// The state obtained by replaying a slice's records, and the position of its next record.
namespace almondquay {

/// The state of one key.
struct claim_entry {
    claim_id id;
    std::uint64_t digest = 0;
    std::optional<claim_end> end; ///< empty while the claim may be running
    claim_answer answer;
};

/// The last segment read; all earlier ones are full and immutable.
struct last_segment {
    std::uint32_t index = 0;
    std::optional<object_version> version; ///< empty if the object does not exist yet
    std::vector<log_record> records;       ///< those of the log's own slice
    std::size_t bytes = 0;
};

struct claim_log {
    std::map<claim_key, claim_entry> entries;
    std::set<claim_id>
        revoked_ids; ///< claims recorded as not run, which can never be granted again
    last_segment last;
    bool expired = false; ///< overwritten by a later slice, or unreadable
};

/// Replays one record. The first claim of a key wins unless it is recorded as not run.
void apply(claim_log& log, const log_record& record);

/// The result of reading segment `log.last.index`.
enum class segment_use {
    append_here, ///< it has room for more records
    read_next,   ///< it is full; the log continues in the next segment
    expired,     ///< it belongs to a later slice or cannot be decoded
};

/// Applies a segment that was read; `object` is empty if it does not exist. Reading the last
/// segment again applies only the records that other hosts have appended since.
segment_use apply_segment(claim_log& log, slice_number slice,
                          const std::optional<stored_object>& object);

/// The last segment with `batch` appended, ready to be written.
log_segment with_batch(const claim_log& log, slice_number slice,
                       const std::vector<log_record>& batch);

/// Applies a batch that was written as `version`. Returns whether the segment is now full.
bool apply_written_batch(claim_log& log, const std::vector<log_record>& batch, std::size_t bytes,
                         object_version version);

/// Advances to the segment after a full one; it has yet to be read.
void start_next_segment(claim_log& log);

} // namespace almondquay
