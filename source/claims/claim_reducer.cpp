#include "claims/claim_reducer.h"

#include "common/overloaded.h"

#include <algorithm>

#include <xxhash.h>

namespace almondquay {

namespace {

/// The context of one reducer call.
struct step {
    claim_state& state;
    const claim_membership& membership;
    monotonic_time now;
    wall_time wall;
    claim_effects out;
};

void send(step& s, const host_id& to, decltype(claim_message::body) body)
{
    s.out.emplace_back(claim_message_effect{to, {s.membership.self, std::move(body)}});
}

void run_writer(step& s, claim_log_writer& writer, writer_output output);

claim_log_writer& writer_for(step& s, const claim_key& key)
{
    const claim_log_id id{bucket_of(key), slice_of(key)};
    auto& writer = s.state.writers[id];
    writer.id = id;
    writer.last_used = s.now;
    return writer;
}

void enqueue(step& s, const claim_record& claim, const host_id& reply_to, monotonic_time deadline)
{
    auto& writer = writer_for(s, claim.key);
    writer_output output;
    enqueue_claim(writer, {claim, reply_to, deadline, false}, output);
    run_writer(s, writer, std::move(output));
}

void enqueue(step& s, const outcome_record& outcome, const host_id& reply_to)
{
    auto& writer = writer_for(s, outcome.key);
    enqueue_outcome(writer, {outcome, reply_to});
    run_writer(s, writer, {});
}

void send_outcome(step& s, unsaved_outcome& unsaved)
{
    unsaved.next_send = s.now + outcome_resend_interval;
    const auto owner = owner_of(bucket_of(unsaved.outcome.key), s.membership.owners);
    if (owner == s.membership.self || owner.value.empty()) {
        enqueue(s, outcome_record(unsaved.outcome), s.membership.self);
    } else {
        send(s, owner, outcome_message{unsaved.outcome});
    }
}

void save_outcome(step& s, const outcome_record& outcome)
{
    const auto number = outcome.id.number;
    auto& unsaved = s.state.unsaved;
    unsaved[number] = {outcome, s.now + outcome_resend_interval};
    if (unsaved.size() > max_own_claims) {
        unsaved.erase(unsaved.begin());
    }
    const auto kept = unsaved.find(number);
    if (kept != unsaved.end()) {
        send_outcome(s, kept->second);
    }
}

void remember_own(claim_state& state, const claim_record& claim)
{
    if (state.own.insert_or_assign(claim.key, own_claim{claim.id, claim.digest, {}}).second) {
        state.own_order.push_back(claim.key);
    }
    if (state.own_order.size() > max_own_claims) {
        state.own.erase(state.own_order.front());
        state.own_order.pop_front();
    }
}

void remember_refused(claim_state& state, claim_number number)
{
    state.refused.insert(number);
    if (state.refused.size() > max_own_claims) {
        state.refused.erase(state.refused.begin());
    }
}

bool is_refused_by_store(const claim_verdict& verdict)
{
    const auto* refused = std::get_if<claim_refused>(&verdict);
    return refused != nullptr && (refused->code == result_code::claim_store_unavailable ||
                                  refused->code == result_code::claim_store_full);
}

/// Resolves a waiting request. A claim that was refused because the log could not be written may
/// still become durable, so it is recorded as not run, which frees its key.
void resolve_waiting(step& s, const waiting_claim& w, const claim_verdict& verdict)
{
    const auto number = w.claim.id.number;
    s.out.emplace_back(claim_verdict_effect{w.request, number, verdict});
    if (std::holds_alternative<claim_granted>(verdict)) {
        s.state.running.emplace(number, w.claim);
        remember_own(s.state, w.claim);
        return;
    }
    remember_refused(s.state, number);
    if (is_refused_by_store(verdict)) {
        save_outcome(s, {w.claim.key, w.claim.id, claim_end::not_run, {}});
    }
}

/// A claim can become durable after its request has been refused, for instance when its message was
/// delayed, and then holds a key that nobody runs. Only claims that are known to have been refused
/// are released: one that is no longer in memory may have run.
void release_unused_grant(step& s, const claim_id& id, const claim_key& key,
                          const claim_verdict& verdict)
{
    const bool is_unwanted =
        std::holds_alternative<claim_granted>(verdict) && s.state.refused.contains(id.number);
    if (is_unwanted) {
        save_outcome(s, {key, id, claim_end::not_run, {}});
    }
}

void apply_verdict(step& s, const claim_id& id, const claim_key& key, const claim_verdict& verdict)
{
    if (id.host != s.membership.self || id.life != s.membership.life) {
        return;
    }
    const auto found = s.state.waiting.find(id.number);
    if (found == s.state.waiting.end()) {
        release_unused_grant(s, id, key, verdict);
        return;
    }
    const auto w = found->second;
    s.state.waiting.erase(found);
    resolve_waiting(s, w, verdict);
}

void handle_outcome_ack(step& s, const claim_id& id)
{
    if (id.host == s.membership.self && id.life == s.membership.life) {
        s.state.unsaved.erase(id.number);
    }
}

/// Advances a log writer and dispatches its output. Verdicts for this host are applied at once.
void run_writer(step& s, claim_log_writer& writer, writer_output output)
{
    output.next_call = &s.state.next_call;
    advance(writer, s.membership.alive, s.now, output);
    std::ranges::move(output.store, std::back_inserter(s.out));
    for (const auto& kept : output.acks) {
        if (kept.to == s.membership.self) {
            handle_outcome_ack(s, kept.id);
        } else {
            send(s, kept.to, outcome_ack_message{kept.id});
        }
    }
    for (const auto& v : output.verdicts) {
        if (v.to == s.membership.self) {
            apply_verdict(s, v.id, v.key, v.verdict);
        } else {
            send(s, v.to, verdict_message{v.id, v.key, v.verdict});
        }
    }
}

/// Decides a claim from local records alone, without reading the log, if they suffice.
std::optional<claim_verdict> find_local_verdict(const claim_state& state, const claim_record& claim)
{
    const auto found = state.own.find(claim.key);
    if (found == state.own.end()) {
        return std::nullopt;
    }
    const auto& own = found->second;
    const bool is_free = own.outcome && own.outcome->end == claim_end::not_run;
    if (is_free) {
        return std::nullopt;
    }
    if (own.digest != claim.digest) {
        return claim_refused{result_code::key_reused};
    }
    if (!own.outcome) {
        return claim_refused{result_code::claim_still_running};
    }
    if (own.outcome->end == claim_end::unknown) {
        return claim_refused{result_code::claim_outcome_unknown};
    }
    if (!own.outcome->answer.is_kept) {
        return claim_refused{result_code::claim_answer_not_kept};
    }
    return claim_replayed{own.outcome->answer};
}

void submit_claim(step& s, waiting_claim& w)
{
    const auto owner = owner_of(bucket_of(w.claim.key), s.membership.owners);
    w.is_direct = owner == s.membership.self || owner.value.empty();
    if (w.is_direct) {
        enqueue(s, claim_record(w.claim), s.membership.self, w.deadline);
        return;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(w.deadline - s.now);
    send(s, owner, claim_request_message{w.claim, left});
}

void handle(step& s, const claim_requested_event& e)
{
    const claim_record claim{
        e.key, {s.membership.self, s.membership.life, s.state.next_number++}, e.digest};
    const auto refuse = [&](const claim_verdict& verdict) {
        s.out.emplace_back(claim_verdict_effect{e.request, claim.id.number, verdict});
    };
    const auto age = check_age(e.key, s.wall);
    if (!succeeded(age)) {
        return refuse(claim_refused{error_of(age).code});
    }
    if (const auto known = find_local_verdict(s.state, claim)) {
        return refuse(*known);
    }
    waiting_claim w{e.request, claim, std::min(e.deadline, s.now + claim_timeout),
                    s.now + owner_timeout, false};
    auto& kept = s.state.waiting.emplace(claim.id.number, w).first->second;
    submit_claim(s, kept);
}

void handle(step& s, const claim_finished_event& e)
{
    const auto found = s.state.running.find(e.number);
    if (found == s.state.running.end()) {
        return;
    }
    const outcome_record outcome{found->second.key, found->second.id, e.end, e.answer};
    s.state.running.erase(found);
    const auto own = s.state.own.find(outcome.key);
    if (own != s.state.own.end() && own->second.id == outcome.id) {
        own->second.outcome = outcome;
    }
    save_outcome(s, outcome);
}

claim_log_writer* find_writer(claim_state& state, store_call call)
{
    const auto found = std::ranges::find_if(
        state.writers, [&](const auto& entry) { return entry.second.call == call; });
    return found == state.writers.end() ? nullptr : &found->second;
}

writer_output empty_output(step& s)
{
    writer_output output;
    output.next_call = &s.state.next_call;
    return output;
}

void handle(step& s, const claim_read_event& e)
{
    if (auto* writer = find_writer(s.state, e.call)) {
        auto output = empty_output(s);
        handle_read(*writer, e.object, s.now, output);
        run_writer(s, *writer, std::move(output));
    }
}

void handle(step& s, const claim_written_event& e)
{
    if (auto* writer = find_writer(s.state, e.call)) {
        auto output = empty_output(s);
        handle_write(*writer, e.version, s.now, output);
        run_writer(s, *writer, std::move(output));
    }
}

void handle(step& s, const claim_message_event& e)
{
    const auto& from = e.message.from;
    std::visit(overloaded{
                   [&](const claim_request_message& m) {
                       const auto left =
                           std::clamp(m.time_left, std::chrono::milliseconds{0}, claim_timeout);
                       enqueue(s, m.claim, from, s.now + left);
                   },
                   [&](const verdict_message& m) { apply_verdict(s, m.id, m.key, m.verdict); },
                   [&](const outcome_message& m) { enqueue(s, m.outcome, from); },
                   [&](const outcome_ack_message& m) { handle_outcome_ack(s, m.id); },
               },
               e.message.body);
}

void tick_waiting(step& s)
{
    std::vector<claim_number> numbers;
    for (const auto& [number, w] : s.state.waiting) {
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        const auto found = s.state.waiting.find(number);
        if (found == s.state.waiting.end()) {
            continue;
        }
        auto& w = found->second;
        if (s.now >= w.deadline) {
            apply_verdict(s, w.claim.id, w.claim.key,
                          claim_refused{result_code::claim_store_unavailable});
        } else if (!w.is_direct && s.now >= w.direct_at) {
            w.is_direct = true;
            enqueue(s, claim_record(w.claim), s.membership.self, w.deadline);
        }
    }
}

void tick_unsaved(step& s)
{
    std::vector<claim_number> due;
    for (const auto& [number, unsaved] : s.state.unsaved) {
        if (s.now >= unsaved.next_send && due.size() < max_batch_records) {
            due.push_back(number);
        }
    }
    for (const auto number : due) {
        const auto found = s.state.unsaved.find(number);
        if (found != s.state.unsaved.end()) {
            send_outcome(s, found->second);
        }
    }
}

void tick_writers(step& s)
{
    std::erase_if(s.state.writers, [&](const auto& entry) {
        const auto& writer = entry.second;
        const bool is_busy =
            writer.stage == writer_stage::reading || writer.stage == writer_stage::writing;
        return !is_busy && writer.queued_claims.empty() && writer.outcomes.empty() &&
               s.now - writer.last_used > writer_idle_timeout;
    });
    for (auto& [id, writer] : s.state.writers) {
        writer_output output;
        tick_writer(writer, s.now, output);
        run_writer(s, writer, std::move(output));
    }
}

void handle(step& s, const claim_tick_event& /*e*/)
{
    tick_waiting(s);
    tick_unsaved(s);
    tick_writers(s);
}

} // namespace

host_id owner_of(bucket_number bucket, const host_incarnations& hosts)
{
    host_id owner;
    std::uint64_t best = 0;
    for (const auto& [id, life] : hosts) {
        const auto score = XXH3_64bits_withSeed(id.value.data(), id.value.size(), bucket.value + 1);
        if (owner.value.empty() || score > best) {
            owner = id;
            best = score;
        }
    }
    return owner;
}

claim_effects reduce_claims(claim_state& state, const claim_membership& membership,
                            const claim_event& e, monotonic_time now, wall_time wall)
{
    step s{state, membership, now, wall, {}};
    std::visit([&](const auto& one) { handle(s, one); }, e);
    return std::move(s.out);
}

} // namespace almondquay
