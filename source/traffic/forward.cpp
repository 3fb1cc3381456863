#include "traffic/forward.h"

#include "traffic/crash_check.h"
#include "traffic/exchange.h"
#include "traffic/request_log.h"

#include <algorithm>
#include <cmath>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace almondquay {

namespace {

using clock = std::chrono::steady_clock;

constexpr unsigned max_attempts_without_rule = 3;
constexpr std::chrono::milliseconds longest_slot_wait{2'000};
/// Number of consecutive failures after which this thread prefers other targets for `avoid_time`.
constexpr unsigned failures_to_avoid = 2;
constexpr std::chrono::milliseconds avoid_time{1'000};
/// Minimum Retry-After of a refusal; also used if it is not known when a target will be free.
constexpr std::chrono::milliseconds shortest_retry_after{200};
/// Time that a stopping host keeps for responses on their way.
constexpr std::chrono::milliseconds stop_margin{500};
/// How long to wait for the host that issues permits, and how long to leave its target alone if it
/// does not answer.
constexpr std::chrono::milliseconds permit_timeout{150};
constexpr std::chrono::milliseconds unanswered_permit_pause{500};
/// Number of targets with a limit that one attempt asks for a permit.
constexpr unsigned max_permit_requests = 3;

/// Returns the slot to the pool when the attempt ends, whatever its result.
struct slot_guard {
    slot_guard(slot_pool& p, slot s) : pool(&p), held(std::move(s)) {}
    ~slot_guard() { pool->give_back(held); }
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;

    slot_pool* pool;
    slot held;
};

asio::awaitable<std::optional<slot>> wait_for_slot(worker& w, const caller_request& request,
                                                   const std::vector<target_id>& excluded,
                                                   result_code& code)
{
    auto taken = w.context.slots->try_take(request.service, excluded, !request.is_spilled);
    if (taken) {
        co_return taken;
    }
    const auto latest = std::min(request.deadline, clock::now() + longest_slot_wait);
    const auto signal = std::make_shared<asio::steady_timer>(w.io, latest);
    slot_waiter waiter;
    waiter.excluded = excluded;
    waiter.may_spill = !request.is_spilled;
    waiter.wake = [&io = w.io, signal] { asio::post(io, [signal] { signal->cancel(); }); };
    code = w.context.slots->has_usable_target(request.service) ? result_code::no_free_slot
                                                               : result_code::no_live_target;
    if (!w.context.slots->enqueue(request.service, waiter)) {
        co_return std::nullopt;
    }
    if (!waiter.granted) {
        error_code ignored;
        co_await signal->async_wait(redirect_error_to(ignored));
        w.context.slots->cancel(request.service, waiter);
    }
    co_return std::move(waiter.granted);
}

/// Decrements the in-flight count of a shared target when the attempt ends, whatever its result.
struct load_guard {
    load_guard(worker& owner, target_id id) : w(&owner), target(std::move(id)) {}
    ~load_guard() { --w->loads[target].in_flight; }
    load_guard(const load_guard&) = delete;
    load_guard& operator=(const load_guard&) = delete;

    worker* w;
    target_id target;
};

/// Ends the trial of a request that was not served.
struct trial_guard {
    trial_guard(worker& owner, caller_request& r) : w(&owner), request(&r) {}
    ~trial_guard()
    {
        if (request->is_trial) {
            note_trial_failed(w->routes[request->rule->id], clock::now());
        }
    }
    trial_guard(const trial_guard&) = delete;
    trial_guard& operator=(const trial_guard&) = delete;

    worker* w;
    caller_request* request;
};

/// Whether a request that was refused is sent all the same, to check the estimate of its route.
bool takes_trial(worker& w, caller_request& request, const placement_criteria& criteria)
{
    if (request.rule == nullptr || request.is_trial) {
        return request.is_trial;
    }
    const bool is_first = criteria.excluded->empty(); // A retry has little time left.
    auto& estimate = w.routes[request.rule->id];
    if (!is_first ||
        !is_trial_due(estimate, criteria.time_left, request.rule->objective, clock::now())) {
        return false;
    }
    begin_trial(estimate, criteria.time_left);
    request.is_trial = true;
    log_trial(w, request, criteria);
    return true;
}

placement_criteria make_criteria(const worker& w, const caller_request& request,
                                 const std::vector<target_id>& excluded)
{
    const auto now = clock::now();
    const auto ms = [](clock::duration d) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(d);
    };
    placement_criteria criteria;
    criteria.object = request.object;
    criteria.near_domain = w.context.domain;
    criteria.near_region = w.snapshot->home;
    criteria.time_left = ms(request.deadline - now);
    criteria.excluded = &excluded;
    if (const auto* rule = request.rule) {
        criteria.homes = &rule->homes;
        criteria.objective = rule->objective - ms(now - request.started);
        const auto known = w.routes.find(rule->id);
        if (known != w.routes.end()) {
            criteria.work = std::chrono::milliseconds(std::llround(known->second.work_ms));
            criteria.stay_near = stays_near(known->second.response_bytes, request.was_shed);
        }
    }
    return criteria;
}

/// A target chosen for an attempt.
struct chosen_target {
    target_route route;
    std::optional<double> limit; ///< that the target has named
};

/// Chooses the target for the next attempt of a request if the targets of its service are shared by
/// all hosts.
std::optional<chosen_target> choose_shared(worker& w, caller_request& request,
                                           const std::vector<target_id>& excluded,
                                           forward_result& refused)
{
    const auto found = w.snapshot->services.find(request.service);
    if (found == w.snapshot->services.end()) {
        refused.code = result_code::no_live_target;
        return std::nullopt;
    }
    const auto now = clock::now();
    const auto statements = w.context.statements->current();
    auto criteria = make_criteria(w, request, excluded);
    criteria.statements = statements.get();
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto chosen =
        place_or_refuse(found->second.targets, w.loads, criteria, uniform(w.random), now);
    if (chosen.target == nullptr) {
        refused.code = !chosen.any_usable             ? result_code::no_live_target
                       : chosen.next_due.count() != 0 ? result_code::targets_limited
                                                      : result_code::no_free_slot;
        refused.retry_after = std::max(chosen.next_due, shortest_retry_after);
        if (chosen.limited + chosen.paused + chosen.leaving != 0) {
            log_held_back(w, request, chosen);
        }
        return std::nullopt;
    }
    if (chosen.is_refused && !takes_trial(w, request, criteria)) {
        log_placement_refused(w, request, chosen, criteria);
        refused.code = result_code::overloaded;
        refused.retry_after = std::max(chosen.wait, shortest_retry_after);
        return std::nullopt;
    }
    log_placement(w, request, chosen);
    return chosen_target{*chosen.target, chosen.limit};
}

/// Whether a target has stated that it is leaving or wants a pause.
bool is_held_back(const worker& w, const target_route& t)
{
    const auto statements = w.context.statements->current();
    const auto* statement = find_statement(*statements, t);
    return statement != nullptr &&
           (statement->is_leaving || clock::now() < statement->paused_until);
}

/// Waits for a permit to send one request to a target that has named a limit. Without an answer it
/// counts as denied.
asio::awaitable<permit_verdict_effect> request_permit(worker& w, const chosen_target& chosen)
{
    const auto number = w.context.first_request + w.permit_requests++;
    permit_wait wait(w.io);
    wait.signal.expires_after(permit_timeout);
    w.permits[number] = &wait;
    w.context.events.permit_wanted({number, chosen.route.id, chosen.route.life, *chosen.limit});
    error_code ignored;
    co_await wait.signal.async_wait(redirect_error_to(ignored));
    w.permits.erase(number);
    co_return wait.verdict.value_or(permit_verdict_effect{number, false, unanswered_permit_pause});
}

/// Chooses a target and, if it has named a limit, gets a permit for it. After a denied permit
/// another target is chosen; that is no attempt, as nothing was sent.
asio::awaitable<std::optional<slot>> take_shared(worker& w, caller_request& request,
                                                 const std::vector<target_id>& excluded,
                                                 forward_result& refused)
{
    for (unsigned asked = 0; asked < max_permit_requests; ++asked) {
        const auto chosen = choose_shared(w, request, excluded, refused);
        if (!chosen) {
            co_return std::nullopt;
        }
        const auto& t = chosen->route;
        if (chosen->limit) {
            const auto permit = co_await request_permit(w, *chosen);
            note_permit(w.loads[t.id], permit.is_granted, permit.retry_after, clock::now());
            if (!permit.is_granted) {
                log_permit_denied(w, request, t, *chosen->limit, permit.retry_after);
                refused.code = result_code::targets_limited;
                refused.retry_after = std::max(permit.retry_after, shortest_retry_after);
                continue;
            }
            if (request.caller->gone) {
                refused = {result_code::caller_gone, outcome::not_run, false, false, {}};
                co_return std::nullopt;
            }
            if (!is_usable(*w.snapshot, request.service, t.id) || is_held_back(w, t)) {
                continue; // Withdrawn, paused or leaving since it was chosen.
            }
        }
        note_sent(w.loads[t.id], t, clock::now());
        co_return slot{request.service, t.id, t.address,         t.sheds_unrun,
                       false,           0,    t.checks_identity, t.life};
    }
    co_return std::nullopt;
}

std::uint32_t slots_of(const worker& w, const slot& used)
{
    const auto* found = find_target(*w.snapshot, used.service, used.target);
    return found == nullptr ? 1 : found->slots;
}

void note_result(worker& w, caller_request& request, const slot& used, const forward_result& end,
                 clock::time_point sent)
{
    auto& load = w.loads[used.target];
    const auto now = clock::now();
    if (end.request_outcome == outcome::ran) {
        load.failures = 0;
        note_service_time(load, slots_of(w, used), now - sent);
        const bool is_served = request.rule != nullptr && end.code == result_code::ok;
        if (is_served && request.is_trial) {
            note_trial_served(w.routes[request.rule->id], now - sent, now);
            request.is_trial = false;
        } else if (is_served && load.waiting == 0) {
            note_work(w.routes[request.rule->id], now - sent, now);
        }
        return;
    }
    const bool says_nothing_about_target =
        end.code == result_code::caller_gone || end.code == result_code::too_many_connections;
    if (says_nothing_about_target) {
        return;
    }
    ++load.failures;
    if (load.failures >= failures_to_avoid || end.code == result_code::target_replaced) {
        load.avoid_until = now + avoid_time;
    }
}

asio::awaitable<forward_result> attempt(worker& w, caller_request& request, const slot& used)
{
    // Non-idempotent requests are never sent on a reused connection, where a close by the target
    // would leave their outcome unknown.
    auto upstream = request.repeatable ? take_idle(w.upstreams, used.address) : nullptr;
    if (!upstream) {
        error_code problem;
        upstream = co_await connect(w.upstreams, used.address, request.deadline, problem);
        if (problem == asio::error::no_descriptors) {
            co_return forward_result{
                result_code::too_many_connections, outcome::not_run, false, true, {}};
        }
        if (problem) {
            if (!used.is_spill) {
                report_target(w, used.target,
                              problem == asio::error::connection_refused
                                  ? target_evidence::connection_refused
                                  : target_evidence::connect_failed);
            }
            co_return forward_result{
                result_code::target_unreachable, outcome::not_run, false, true, {}};
        }
        if (used.checks_identity && !is_usable(*w.snapshot, used.service, used.target)) {
            co_return forward_result{
                result_code::target_withdrawn, outcome::not_run, false, true, {}};
        }
    }
    const bool reused = upstream->reused;
    const auto sent = clock::now();
    const auto end = co_await exchange(w, request, used, upstream);
    if (end.request_outcome == outcome::ran) {
        note_response_time(w, request.service, clock::now() - sent);
    }
    if (used.is_spill) {
        co_return end; // The receiving host tracks the health of its own targets.
    }
    check_for_crash(w, request, used, end);
    const bool is_target_failure = end.code == result_code::target_answer_lost ||
                                   end.code == result_code::target_answer_malformed ||
                                   end.code == result_code::deadline_passed;
    if (is_target_failure) {
        drop_idle(w.upstreams, used.address);
    }
    if (is_target_failure && !reused) {
        report_target(w, used.target, target_evidence::answer_lost);
    } else if (end.request_outcome == outcome::ran) {
        report_target(w, used.target, target_evidence::served);
    }
    co_return end;
}

bool are_targets_shared(const worker& w, const caller_request& request)
{
    const auto found = w.snapshot->services.find(request.service);
    return request.rule != nullptr ||
           (found != w.snapshot->services.end() && found->second.are_targets_shared);
}

/// After an abandoned attempt, takes a free slot of another target: the previous target may still
/// be processing the request, or its connections may fail again.
std::optional<slot> take_slot_elsewhere(worker& w, const caller_request& request,
                                        std::vector<target_id> excluded)
{
    if (!request.abandoned_target) {
        return std::nullopt;
    }
    excluded.push_back(*request.abandoned_target);
    return w.context.slots->try_take(request.service, excluded, !request.is_spilled);
}

/// Makes one attempt within this host's share of slots. Returns nothing if no slot is available;
/// the reason is then stored in `end` unless an earlier attempt has set one.
asio::awaitable<std::optional<forward_result>> try_with_slot(worker& w, caller_request& request,
                                                             std::vector<target_id>& excluded,
                                                             forward_result& end)
{
    auto code = result_code::ok;
    auto taken = take_slot_elsewhere(w, request, excluded);
    if (!taken) {
        taken = co_await wait_for_slot(w, request, excluded, code);
    }
    if (!taken) {
        if (end.code == result_code::no_live_target) {
            end.code = code;
        }
        co_return std::nullopt;
    }
    const slot_guard guard(*w.context.slots, std::move(*taken));
    const auto sent = clock::now();
    auto tried = co_await attempt(w, request, guard.held);
    log_attempt(w, request, guard.held, tried, clock::now() - sent);
    // Only a target that did not run the request is excluded: the failure of a reused connection
    // says little about its target, which may be tried again.
    if (tried.request_outcome == outcome::not_run) {
        excluded.push_back(guard.held.target);
    }
    co_return tried;
}

/// Makes one attempt at a target that is shared by all hosts.
asio::awaitable<std::optional<forward_result>> try_shared(worker& w, caller_request& request,
                                                          std::vector<target_id>& excluded,
                                                          forward_result& end)
{
    auto refused = end;
    const auto taken = co_await take_shared(w, request, excluded, refused);
    if (!taken) {
        if (excluded.empty()) {
            end = refused;
        }
        end.retry_after = refused.retry_after;
        co_return std::nullopt;
    }
    const load_guard guard(w, taken->target);
    const auto sent = clock::now();
    auto tried = co_await attempt(w, request, *taken);
    note_result(w, request, *taken, tried, sent);
    log_attempt(w, request, *taken, tried, clock::now() - sent);
    request.was_shed = request.was_shed || tried.code == result_code::target_shed;
    excluded.push_back(taken->target);
    co_return tried;
}

bool may_retry(const caller_request& request, const forward_result& end)
{
    const bool can_resend = request.body_is_complete && end.caller_usable && !end.answered;
    const bool is_safe = end.request_outcome == outcome::not_run || request.repeatable;
    return can_resend && is_safe && end.code != result_code::caller_gone &&
           end.code != result_code::too_many_connections && clock::now() < request.deadline;
}

/// The combined result of all attempts so far: if an earlier attempt may have run, the outcome
/// stays unknown even if a later one did not run.
forward_result combine_results(const forward_result& before, const forward_result& latest)
{
    auto end = latest;
    if (before.request_outcome == outcome::unknown && latest.request_outcome == outcome::not_run) {
        end.code = before.code;
        end.request_outcome = outcome::unknown;
    }
    return end;
}

/// Whether a stopping host would most likely be killed before the request has ended, judged by the
/// slowest recent response of its service.
bool would_outlast_host(const worker& w, const caller_request& request)
{
    const auto deadline = w.snapshot->stop_deadline;
    const auto slowest = w.slowest_response_ms.find(request.service);
    if (!w.snapshot->leaving || deadline == clock::time_point{} ||
        slowest == w.slowest_response_ms.end()) {
        return false;
    }
    const std::chrono::duration<double, std::milli> needed(slowest->second);
    return clock::now() + stop_margin + needed > deadline;
}

} // namespace

asio::awaitable<forward_result> forward(worker& w, caller_request& request)
{
    if (would_outlast_host(w, request)) {
        co_return forward_result{
            result_code::host_leaving, outcome::not_run, false, true, std::nullopt,
            shortest_retry_after};
    }
    const trial_guard trial(w, request);
    auto& budget = w.budgets[request.service];
    note_request(budget, w.context.budgets, w.snapshot->hosts);
    const auto most =
        request.rule != nullptr ? request.rule->max_attempts : max_attempts_without_rule;
    std::vector<target_id> excluded;
    forward_result end{result_code::no_live_target, outcome::not_run, false, true, {}};
    for (unsigned tries = 0; tries < most; ++tries) {
        if (request.caller->gone) {
            end.code = result_code::caller_gone;
            end.caller_usable = false;
            break;
        }
        if (tries != 0 && !take_retry(budget)) {
            break;
        }
        const bool can_follow = tries + 1 < most && has_retry(budget);
        request.can_retry = can_follow && request.repeatable && request.body_is_complete;
        // A conditional expression with two co_await destroys its result twice with g++ 12.
        std::optional<forward_result> tried;
        if (are_targets_shared(w, request)) {
            tried = co_await try_shared(w, request, excluded, end);
        } else {
            tried = co_await try_with_slot(w, request, excluded, end);
        }
        if (!tried) {
            break;
        }
        end = combine_results(end, *tried);
        if (end.code == result_code::ok || !may_retry(request, *tried)) {
            break;
        }
    }
    co_return end;
}

} // namespace almondquay
