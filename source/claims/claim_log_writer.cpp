#include "claims/claim_log_writer.h"

#include <algorithm>
#include <set>

namespace almondquay {

namespace {

constexpr unsigned max_doublings = 6;

void refuse(writer_output& out, const queued_claim& queued, result_code code)
{
    out.verdicts.push_back(
        {queued.reply_to, queued.claim.id, queued.claim.key, claim_refused{code}});
}

void start_read(claim_log_writer& writer, writer_output& out)
{
    writer.stage = writer_stage::reading;
    writer.call = (*out.next_call)++;
    out.store.emplace_back(read_claims_effect{writer.call, current_segment_key(writer)});
}

void back_off(claim_log_writer& writer, monotonic_time now)
{
    const auto doubled = min_retry_delay * (1U << std::min(writer.failures, max_doublings));
    ++writer.failures;
    writer.stage = writer_stage::backing_off;
    writer.retry_at = now + std::min(doubled, max_retry_delay);
}

void mark_log_refreshed(claim_log_writer& writer)
{
    for (auto& queued : writer.queued_claims) {
        queued.is_log_refreshed = true;
    }
}

bool is_running(const claim_entry& entry, const host_incarnations& alive)
{
    const auto holder = alive.find(entry.id.host);
    return holder != alive.end() && holder->second == entry.id.life;
}

claim_verdict verdict_for_ended(const claim_entry& entry)
{
    if (entry.end == claim_end::unknown) {
        return claim_refused{result_code::claim_outcome_unknown};
    }
    if (!entry.answer.is_kept) {
        return claim_refused{result_code::claim_answer_not_kept};
    }
    return claim_replayed{entry.answer};
}

enum class next_step { append, answer, read_again };

struct resolution {
    next_step step = next_step::append;
    claim_verdict verdict;
};

/// An outcome that the claim's host has reported but that is not durable yet. `ran` and `unknown`
/// can be used before they are durable; `not_run` must be durable before it frees the key.
const outcome_record* find_reported_outcome(const claim_log_writer& writer, const claim_id& id)
{
    const auto found = std::ranges::find(writer.outcomes, id,
                                         [](const queued_outcome& p) { return p.outcome.id; });
    const bool is_reported =
        found != writer.outcomes.end() && found->outcome.end != claim_end::not_run;
    return is_reported ? &found->outcome : nullptr;
}

resolution resolve_against(const claim_log_writer& writer, const claim_entry& entry,
                           const queued_claim& queued, const host_incarnations& alive)
{
    if (entry.id == queued.claim.id && !entry.end) {
        return {next_step::answer, claim_granted{}};
    }
    if (entry.digest != queued.claim.digest) {
        return {next_step::answer, claim_refused{result_code::key_reused}};
    }
    if (entry.end) {
        return {next_step::answer, verdict_for_ended(entry)};
    }
    if (const auto* reported = find_reported_outcome(writer, entry.id)) {
        return {next_step::answer,
                verdict_for_ended({entry.id, 0, reported->end, reported->answer})};
    }
    if (!queued.is_log_refreshed) {
        return {next_step::read_again, {}};
    }
    const auto code = is_running(entry, alive) ? result_code::claim_still_running
                                               : result_code::claim_outcome_unknown;
    return {next_step::answer, claim_refused{code}};
}

resolution resolve(const claim_log_writer& writer, const queued_claim& queued,
                   const host_incarnations& alive)
{
    if (writer.log.expired) {
        return {next_step::answer, claim_refused{result_code::key_too_old}};
    }
    if (writer.log.revoked_ids.contains(queued.claim.id)) {
        return {next_step::answer, claim_refused{result_code::claim_store_unavailable}};
    }
    const auto entry = writer.log.entries.find(queued.claim.key);
    if (entry == writer.log.entries.end() || entry->second.end == claim_end::not_run) {
        return {next_step::append, {}};
    }
    return resolve_against(writer, entry->second, queued, alive);
}

/// Answers the claims that need no write. Returns whether a remaining claim needs the log to be
/// read again.
bool answer_resolved(claim_log_writer& writer, const host_incarnations& alive, writer_output& out)
{
    bool read_again = false;
    for (auto queued = writer.queued_claims.begin(); queued != writer.queued_claims.end();) {
        const auto resolved = resolve(writer, *queued, alive);
        read_again = read_again || resolved.step == next_step::read_again;
        if (resolved.step != next_step::answer) {
            ++queued;
            continue;
        }
        out.verdicts.push_back(
            {queued->reply_to, queued->claim.id, queued->claim.key, resolved.verdict});
        queued = writer.queued_claims.erase(queued);
    }
    return read_again;
}

/// Acknowledges outcomes that are already in the log or can no longer affect it.
void acknowledge_recorded_outcomes(claim_log_writer& writer, writer_output& out)
{
    const auto is_kept = [&](const queued_outcome& p) {
        const auto entry = writer.log.entries.find(p.outcome.key);
        const bool is_recorded = entry != writer.log.entries.end() &&
                                 entry->second.id == p.outcome.id && entry->second.end.has_value();
        return writer.log.expired || is_recorded || writer.log.revoked_ids.contains(p.outcome.id);
    };
    for (auto outcome = writer.outcomes.begin(); outcome != writer.outcomes.end();) {
        if (!is_kept(*outcome)) {
            ++outcome;
            continue;
        }
        out.acks.push_back({outcome->reply_to, outcome->outcome.id});
        outcome = writer.outcomes.erase(outcome);
    }
}

/// Acknowledges the outcomes of the batch that has just become durable.
void acknowledge_written_outcomes(claim_log_writer& writer, writer_output& out)
{
    for (const auto& record : writer.batch) {
        const auto* written = std::get_if<outcome_record>(&record);
        if (written == nullptr) {
            continue;
        }
        const auto pending = std::ranges::find(
            writer.outcomes, written->id, [](const queued_outcome& p) { return p.outcome.id; });
        if (pending != writer.outcomes.end()) {
            out.acks.push_back({pending->reply_to, written->id});
            writer.outcomes.erase(pending);
        }
    }
}

std::vector<log_record> make_batch(const claim_log_writer& writer)
{
    std::vector<log_record> batch;
    std::set<claim_key> keys;
    for (const auto& outcome : writer.outcomes) {
        if (batch.size() < max_batch_records) {
            batch.emplace_back(outcome.outcome);
        }
    }
    const bool has_claims =
        std::ranges::any_of(writer.queued_claims, [&](const queued_claim& queued) {
            const auto entry = writer.log.entries.find(queued.claim.key);
            return entry == writer.log.entries.end() || entry->second.end == claim_end::not_run;
        });
    if (!has_claims && !writer.outcomes_due) {
        return {};
    }
    for (const auto& queued : writer.queued_claims) {
        const auto entry = writer.log.entries.find(queued.claim.key);
        const bool is_free =
            entry == writer.log.entries.end() || entry->second.end == claim_end::not_run;
        // One claim per key and batch: a second one waits and is then answered from the log.
        if (is_free && batch.size() < max_batch_records && keys.insert(queued.claim.key).second) {
            batch.emplace_back(queued.claim);
        }
    }
    return batch;
}

void start_write(claim_log_writer& writer, std::vector<log_record> batch, writer_output& out)
{
    auto body = encode(with_batch(writer.log, writer.id.slice, batch));
    writer.stage = writer_stage::writing;
    writer.batch = std::move(batch);
    writer.batch_bytes = body.size();
    writer.outcomes_due = false;
    writer.call = (*out.next_call)++;
    out.store.emplace_back(write_claims_effect{writer.call, current_segment_key(writer),
                                               writer.log.last.version, std::move(body)});
}

void refuse_all_as_full(claim_log_writer& writer, writer_output& out)
{
    for (const auto& queued : writer.queued_claims) {
        refuse(out, queued, result_code::claim_store_full);
    }
    writer.queued_claims.clear();
}

} // namespace

std::string current_segment_key(const claim_log_writer& writer)
{
    return segment_key(writer.id.bucket, writer.id.slice, writer.log.last.index);
}

void enqueue_claim(claim_log_writer& writer, queued_claim queued, writer_output& out)
{
    const bool is_known = std::ranges::any_of(writer.queued_claims, [&](const queued_claim& other) {
        return other.claim.id == queued.claim.id;
    });
    if (is_known) {
        return;
    }
    if (writer.queued_claims.size() >= max_queued_claims) {
        refuse(out, queued, result_code::claim_store_full);
        return;
    }
    writer.queued_claims.push_back(std::move(queued));
}

void enqueue_outcome(claim_log_writer& writer, queued_outcome outcome)
{
    const bool is_known = std::ranges::any_of(writer.outcomes, [&](const queued_outcome& other) {
        return other.outcome.id == outcome.outcome.id;
    });
    if (!is_known) {
        writer.outcomes.push_back(std::move(outcome));
    }
}

void advance(claim_log_writer& writer, const host_incarnations& alive, monotonic_time now,
             writer_output& out)
{
    const bool has_work = !writer.queued_claims.empty() || !writer.outcomes.empty();
    if (writer.stage == writer_stage::backing_off && has_work && now >= writer.retry_at) {
        start_read(writer, out);
    }
    if (writer.stage != writer_stage::ready) {
        return;
    }
    const bool read_again = answer_resolved(writer, alive, out);
    acknowledge_recorded_outcomes(writer, out);
    if (writer.log.last.index >= max_segments) {
        refuse_all_as_full(writer, out);
        return;
    }
    auto batch = make_batch(writer);
    if (!batch.empty()) {
        start_write(writer, std::move(batch), out);
    } else if (read_again) {
        start_read(writer, out);
    }
}

void handle_read(claim_log_writer& writer, const result<stored_object>& object, monotonic_time now,
                 writer_output& out)
{
    if (writer.stage != writer_stage::reading) {
        return;
    }
    const auto code = code_of(object);
    if (code != result_code::ok && code != result_code::platform_not_found) {
        back_off(writer, now);
        return;
    }
    writer.failures = 0;
    const auto found = succeeded(object) ? std::optional(value_of(object)) : std::nullopt;
    if (apply_segment(writer.log, writer.id.slice, found) == segment_use::read_next) {
        start_next_segment(writer.log);
        start_read(writer, out);
        return;
    }
    writer.stage = writer_stage::ready;
    mark_log_refreshed(writer);
}

void handle_write(claim_log_writer& writer, const result<object_version>& version,
                  monotonic_time now, writer_output& out)
{
    if (writer.stage != writer_stage::writing) {
        return;
    }
    if (!succeeded(version)) {
        writer.batch.clear();
        // Even a failed write may have taken effect, so the log is read again before the next one.
        if (code_of(version) == result_code::platform_conflict) {
            start_read(writer, out);
        } else {
            back_off(writer, now);
        }
        return;
    }
    writer.failures = 0;
    const bool is_full =
        apply_written_batch(writer.log, writer.batch, writer.batch_bytes, value_of(version));
    acknowledge_written_outcomes(writer, out);
    writer.batch.clear();
    writer.stage = writer_stage::ready;
    mark_log_refreshed(writer);
    if (is_full) {
        start_next_segment(writer.log);
        start_read(writer, out);
    }
}

void tick_writer(claim_log_writer& writer, monotonic_time now, writer_output& out)
{
    writer.outcomes_due = !writer.outcomes.empty();
    for (auto queued = writer.queued_claims.begin(); queued != writer.queued_claims.end();) {
        if (now < queued->deadline) {
            ++queued;
            continue;
        }
        refuse(out, *queued, result_code::claim_store_unavailable);
        queued = writer.queued_claims.erase(queued);
    }
}

} // namespace almondquay
