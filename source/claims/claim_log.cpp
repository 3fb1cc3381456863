#include "claims/claim_log.h"

namespace almondquay {

namespace {

void apply_claim(claim_log& log, const claim_record& r)
{
    if (log.revoked_ids.contains(r.id)) {
        return;
    }
    const auto found = log.entries.find(r.key);
    const bool is_free = found == log.entries.end() || found->second.end == claim_end::not_run;
    if (is_free) {
        log.entries[r.key] = {r.id, r.digest, std::nullopt, {}};
    }
}

void apply_outcome(claim_log& log, const outcome_record& r)
{
    if (r.end == claim_end::not_run) {
        log.revoked_ids.insert(r.id);
    }
    const auto found = log.entries.find(r.key);
    const bool is_first =
        found != log.entries.end() && found->second.id == r.id && !found->second.end;
    if (is_first) {
        found->second.end = r.end;
        found->second.answer = r.answer;
    }
}

bool is_full(const last_segment& last)
{
    return last.bytes >= full_segment_bytes;
}

} // namespace

void apply(claim_log& log, const log_record& record)
{
    if (const auto* claim = std::get_if<claim_record>(&record)) {
        apply_claim(log, *claim);
    } else {
        apply_outcome(log, std::get<outcome_record>(record));
    }
}

segment_use apply_segment(claim_log& log, slice_number slice,
                          const std::optional<stored_object>& object)
{
    if (!object) {
        return segment_use::append_here;
    }
    const auto decoded = decode_segment(object->body);
    if (!succeeded(decoded) || value_of(decoded).slice > slice) {
        // An undecodable segment may contain a claim for any key, so all keys of the slice are
        // refused.
        log.expired = true;
        return segment_use::expired;
    }
    const auto& segment = value_of(decoded);
    log.last.version = object->version;
    if (segment.slice < slice) {
        log.last.records.clear();
        log.last.bytes = 0;
        return segment_use::append_here;
    }
    // Segments are append-only, so the records that are already known form a prefix.
    for (std::size_t i = log.last.records.size(); i < segment.records.size(); ++i) {
        apply(log, segment.records[i]);
    }
    log.last.records = segment.records;
    log.last.bytes = object->body.size();
    return is_full(log.last) ? segment_use::read_next : segment_use::append_here;
}

log_segment with_batch(const claim_log& log, slice_number slice,
                       const std::vector<log_record>& batch)
{
    log_segment segment{slice, log.last.records};
    segment.records.insert(segment.records.end(), batch.begin(), batch.end());
    return segment;
}

bool apply_written_batch(claim_log& log, const std::vector<log_record>& batch, std::size_t bytes,
                         object_version version)
{
    for (const auto& record : batch) {
        apply(log, record);
        log.last.records.push_back(record);
    }
    log.last.bytes = bytes;
    log.last.version = version;
    return is_full(log.last);
}

void start_next_segment(claim_log& log)
{
    const auto next = log.last.index + 1;
    log.last = {};
    log.last.index = next;
}

} // namespace almondquay
