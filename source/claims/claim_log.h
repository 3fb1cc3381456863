#pragma once

#include "claims/claim_record.h"
#include "store/object_store.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// The state that a slice's records amount to, and where its next record goes.
namespace almondquay {

/// What is known of one key.
struct claim_entry {
    claim_id id;
    std::uint64_t digest = 0;
    std::optional<claim_end> end; ///< none while it may be running
    claim_answer answer;
};

/// The last segment read; all earlier ones are full and cannot change any more.
struct last_segment {
    std::uint32_t index = 0;
    std::optional<object_version> version; ///< none if the object does not exist yet
    std::vector<log_record> records;       ///< of this slice
    std::size_t bytes = 0;
};

struct claim_log {
    std::map<claim_key, claim_entry> entries;
    std::set<claim_id> void_ids; ///< claims that ended unrun and can never be granted any more
    last_segment last;
    bool expired = false; ///< a later slice has written over this one
};

/// Takes one record in. The first claim of a key wins until it is proved not to have run.
void apply(claim_log& log, const log_record& record);

/// What became of reading segment `log.last.index`.
enum class segment_use {
    append_here, ///< it has room
    read_next,   ///< it is full
    expired,     ///< it belongs to a later slice
};

/// Takes over a segment that was read (none: the object does not exist). Re-reading the last
/// segment takes in what others have appended.
segment_use take_segment(claim_log& log, slice_number slice,
                         const std::optional<stored_object>& object);

/// The last segment with `batch` appended, as it is to be written.
log_segment with_batch(const claim_log& log, slice_number slice,
                       const std::vector<log_record>& batch);

/// Takes over a batch that was written as `version`. True if the segment is full now.
bool take_written(claim_log& log, const std::vector<log_record>& batch, std::size_t bytes,
                  object_version version);

/// Moves on to the segment after a full one, which has yet to be read.
void start_next_segment(claim_log& log);

} // namespace almondquay
