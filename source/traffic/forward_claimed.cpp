#include "traffic/forward_claimed.h"

#include <xxhash.h>

namespace almondquay {

namespace {

std::uint64_t digest_of(const caller_request& request)
{
    const auto& head = request.parser->get();
    std::string text(head.method_string());
    text += ' ';
    text += head.target();
    text += '\n';
    text += request.body;
    return XXH3_64bits(text.data(), text.size());
}

/// Requests a claim on the key and waits for the verdict. The control thread answers every claim
/// request within its own timeout.
asio::awaitable<claim_verdict_effect> request_claim(worker& w, claim_requested_event wanted)
{
    verdict_wait wait(w.io);
    wanted.request = w.context.first_request + w.claim_requests++;
    w.verdicts[wanted.request] = &wait;
    w.context.events.claim_requested(wanted);
    while (!wait.verdict) {
        error_code ignored;
        co_await wait.signal.async_wait(redirect_error_to(ignored));
    }
    w.verdicts.erase(wanted.request);
    co_return *wait.verdict;
}

outcome outcome_of(result_code code)
{
    switch (code) {
    case result_code::claim_still_running:
    case result_code::claim_outcome_unknown:
        return outcome::unknown;
    case result_code::claim_answer_not_kept:
        return outcome::ran;
    default:
        return outcome::not_run;
    }
}

forward_result refused_result(result_code code)
{
    return {code, outcome_of(code), false, true, std::nullopt};
}

claim_finished_event make_finished_event(claim_number number, const forward_result& end)
{
    if (end.request_outcome == outcome::not_run) {
        return {number, claim_end::not_run, {}};
    }
    if (end.request_outcome == outcome::unknown) {
        return {number, claim_end::unknown, {}};
    }
    claim_answer answer;
    answer.is_kept = end.stored && end.stored->body.size() <= max_kept_body_bytes;
    if (answer.is_kept) {
        answer = {end.stored->status, end.stored->content_type, end.stored->body, true};
    }
    return {number, claim_end::ran, std::move(answer)};
}

asio::awaitable<claimed_result> run_granted(worker& w, caller_request& request, claim_number number)
{
    auto end = co_await forward(w, request);
    w.context.events.claim_finished(make_finished_event(number, end));
    co_return claimed_result{std::move(end), std::nullopt};
}

} // namespace

asio::awaitable<claimed_result> forward_claimed(worker& w, caller_request& request)
{
    const auto text = request.parser->get()[key_header];
    const auto key = parse_claim_key({text.data(), text.size()});
    if (!succeeded(key)) {
        co_return claimed_result{refused_result(error_of(key).code), std::nullopt};
    }
    if (!request.body_is_complete) {
        co_return claimed_result{refused_result(result_code::request_body_too_large), std::nullopt};
    }
    const claim_requested_event wanted{0, value_of(key), digest_of(request), request.deadline};
    const auto answer = co_await request_claim(w, wanted);
    if (std::holds_alternative<claim_granted>(answer.verdict)) {
        co_return co_await run_granted(w, request, answer.number);
    }
    if (const auto* replay = std::get_if<claim_replayed>(&answer.verdict)) {
        const forward_result end{result_code::ok, outcome::ran, false, true, std::nullopt};
        co_return claimed_result{end, replay->answer};
    }
    co_return claimed_result{refused_result(std::get<claim_refused>(answer.verdict).code),
                             std::nullopt};
}

} // namespace almondquay
