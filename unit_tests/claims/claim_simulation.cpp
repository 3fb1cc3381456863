#include "claims/claim_simulation.h"

#include "support/action_queue.h"

#include <algorithm>
#include <array>

#include <boost/container_hash/hash.hpp>

namespace almondquay {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t host_count = 3;
constexpr milliseconds platform_delay{5};
constexpr milliseconds peer_delay{1};
constexpr milliseconds work_time{20};
constexpr milliseconds call_timeout{1'000};
constexpr milliseconds late_delivery_delay{6'000};
/// Short enough that a duplicate response arrives while the host's next call is in flight.
constexpr milliseconds repeat_delay{3};
constexpr milliseconds pause_time{12'000};
constexpr milliseconds outage_time{5'000};
constexpr milliseconds tick_interval{250};
constexpr milliseconds caller_timeout{900};
/// No fault begins later than this, so that all faults are over at the time of the last retry.
constexpr milliseconds last_fault_at{25'000};
constexpr milliseconds last_resend_at{40'000};
constexpr milliseconds scenario_time{50'000};
constexpr milliseconds request_deadline{3'000};
constexpr std::uint64_t start_wall_ms = 1'800'000'000'000;

struct model_host {
    claim_state state;
    claim_membership view;
    milliseconds paused_until{};
    milliseconds cut_until{};
    std::uint64_t life = 1;
};

struct model_request {
    claim_key key{};
    bool dispatched = false;
    bool refused_as_not_run = false;
    bool answered = false;
};

struct model {
    explicit model(const fault_plan& p) : plan(p) {}

    const fault_plan& plan;
    milliseconds now{};
    action_queue actions;
    std::array<model_host, host_count> hosts;
    std::map<std::string, stored_object> objects;
    object_version versions = 0;
    milliseconds platform_down_until{};
    std::map<std::uint64_t, model_request> requests;
    std::map<claim_key, std::uint32_t> runs;
    claim_key key{};
    claim_key other_key{};
    claim_key third_key{};
    claim_run_report report;
};

void at(model& m, milliseconds time, std::function<void()> act)
{
    m.actions.add(time, std::move(act));
}

host_id name_of_host(std::size_t index)
{
    return host_id("host-" + std::to_string(index));
}

monotonic_time to_monotonic(milliseconds t)
{
    return monotonic_time(t + milliseconds(1));
}
wall_time to_wall(milliseconds t)
{
    return wall_time(t + milliseconds(start_wall_ms));
}

void deliver(model& m, std::size_t host, std::uint64_t life, const claim_event& e);

/// Updates a host's view of the live hosts; a partitioned host sees only itself.
void update_view(model& m, std::size_t host)
{
    auto& h = m.hosts[host];
    h.view = {name_of_host(host), incarnation(h.life), {}, {}};
    for (std::size_t i = 0; i < host_count; ++i) {
        const auto& other = m.hosts[i];
        const bool is_visible = i == host || (m.now >= other.cut_until && m.now >= h.cut_until &&
                                              m.now >= other.paused_until);
        if (is_visible) {
            h.view.alive[name_of_host(i)] = incarnation(other.life);
        }
    }
    h.view.owners = h.view.alive;
}

void record_violation(model& m, const std::string& what)
{
    m.report.violations.push_back("at " + std::to_string(m.now.count()) + " ms: " + what);
}

claim_fault next_fault(model& m)
{
    const auto found = m.plan.find(m.report.steps++);
    const bool is_over = found == m.plan.end() || m.now > last_fault_at;
    return is_over ? claim_fault::none : found->second;
}

/// Starts a fault of a host, its failure domain or the platform together with its step; the step
/// itself is then processed under that fault.
void start_host_fault(model& m, std::size_t host, claim_fault fault)
{
    auto& h = m.hosts[host];
    if (fault == claim_fault::host_paused) {
        h.paused_until = std::max(h.paused_until, m.now + pause_time);
    } else if (fault == claim_fault::host_replaced) {
        ++h.life;
        h.state = {};
    } else if (fault == claim_fault::platform_down) {
        m.platform_down_until = m.now + outage_time;
    } else if (fault == claim_fault::domain_cut) {
        h.cut_until = m.now + outage_time;
    }
}

bool is_replaced(const model& m, std::size_t host, std::uint64_t life)
{
    return m.hosts[host].life != life;
}

result<stored_object> read_object(model& m, const std::string& key)
{
    const auto found = m.objects.find(key);
    if (found == m.objects.end()) {
        return error{result_code::platform_not_found, ""};
    }
    return found->second;
}

result<object_version> write_object(model& m, const write_claims_effect& e)
{
    const auto found = m.objects.find(e.key);
    const bool holds = e.expected ? found != m.objects.end() && found->second.version == *e.expected
                                  : found == m.objects.end();
    if (!holds) {
        return error{result_code::platform_conflict, ""};
    }
    m.objects[e.key] = {e.key, ++m.versions, e.body};
    return m.versions;
}

/// One platform call. `call` applies it and returns the response event; `fail` returns the event of
/// a call that failed with the given code.
struct store_step {
    std::size_t host = 0;
    std::uint64_t life = 0;
    std::function<claim_event()> call;
    std::function<claim_event(result_code)> fail;
};

void finish_call(model& m, const store_step& s, const claim_event& e, milliseconds delay)
{
    at(m, m.now + delay, [&m, s, e] { deliver(m, s.host, s.life, e); });
}

/// Executes the call at the platform, or fails it if the platform is down or not reachable.
void execute_at_platform(model& m, const store_step& s, bool answer_arrives,
                         milliseconds answer_delay, bool twice)
{
    if (m.now < m.platform_down_until) {
        finish_call(m, s, s.fail(result_code::platform_unavailable), peer_delay);
        return;
    }
    if (m.now < m.hosts[s.host].cut_until) {
        finish_call(m, s, s.fail(result_code::platform_unavailable), call_timeout);
        return;
    }
    const auto answer = s.call();
    if (answer_arrives) {
        finish_call(m, s, answer, platform_delay + answer_delay);
    }
    if (twice) {
        s.call();
        finish_call(m, s, answer, platform_delay + answer_delay + repeat_delay);
    }
}

void start_store_step(model& m, const store_step& s)
{
    const auto fault = next_fault(m);
    start_host_fault(m, s.host, fault);
    if (is_replaced(m, s.host, s.life)) {
        return;
    }
    const bool is_response_lost = fault == claim_fault::lost_before ||
                                  fault == claim_fault::lost_after || fault == claim_fault::late;
    if (is_response_lost) {
        finish_call(m, s, s.fail(result_code::platform_answer_lost), call_timeout);
    }
    if (fault == claim_fault::lost_before) {
        return;
    }
    const auto travel = fault == claim_fault::late ? late_delivery_delay : platform_delay;
    const auto answer_delay =
        fault == claim_fault::late_answer ? call_timeout - 2 * platform_delay : milliseconds{0};
    at(m, m.now + travel, [&m, s, is_response_lost, answer_delay, fault] {
        execute_at_platform(m, s, !is_response_lost, answer_delay, fault == claim_fault::twice);
    });
}

void perform(model& m, std::size_t host, const read_claims_effect& e)
{
    start_store_step(m, {host, m.hosts[host].life,
                         [&m, e] {
                             return claim_event{claim_read_event{e.call, read_object(m, e.key)}};
                         },
                         [e](result_code code) {
                             return claim_event{claim_read_event{e.call, error{code, ""}}};
                         }});
}

void perform(model& m, std::size_t host, const write_claims_effect& e)
{
    start_store_step(m, {host, m.hosts[host].life,
                         [&m, e] {
                             return claim_event{claim_written_event{e.call, write_object(m, e)}};
                         },
                         [e](result_code code) {
                             return claim_event{claim_written_event{e.call, error{code, ""}}};
                         }});
}

void send_message(model& m, std::size_t from, const claim_message_effect& e, milliseconds delay)
{
    at(m, m.now + delay, [&m, from, e] {
        for (std::size_t i = 0; i < host_count; ++i) {
            const bool cut = m.now < m.hosts[i].cut_until || m.now < m.hosts[from].cut_until;
            if (name_of_host(i) == e.to && !cut) {
                deliver(m, i, m.hosts[i].life, claim_message_event{e.message});
            }
        }
    });
}

void perform(model& m, std::size_t host, const claim_message_effect& e)
{
    const auto life = m.hosts[host].life;
    const auto fault = next_fault(m);
    start_host_fault(m, host, fault);
    if (fault == claim_fault::lost_before || fault == claim_fault::lost_after ||
        is_replaced(m, host, life)) {
        return;
    }
    const bool is_late = fault == claim_fault::late || fault == claim_fault::late_answer;
    send_message(m, host, e, is_late ? late_delivery_delay : peer_delay);
    if (fault == claim_fault::twice) {
        send_message(m, host, e, late_delivery_delay);
    }
}

void record_answer(model& m, std::uint64_t request, bool answered)
{
    auto& r = m.requests[request];
    r.answered = answered;
    m.report.answered = m.report.answered || (answered && r.key == m.key);
}

void finish_work(model& m, std::size_t host, std::uint64_t life, std::uint64_t request,
                 claim_number number, claim_end end)
{
    if (is_replaced(m, host, life)) {
        return;
    }
    const claim_answer answer{200, "text/plain", "first answer", end == claim_end::ran};
    record_answer(m, request, end == claim_end::ran);
    deliver(m, host, life, claim_finished_event{number, end, answer});
}

/// Whether the claim is stored at the platform, which is required before the first byte is sent to
/// a target.
bool is_durable(const model& m, const claim_key& key, const claim_id& id)
{
    const auto is_matching_claim = [&](const log_record& record) {
        const auto* claim = std::get_if<claim_record>(&record);
        return claim != nullptr && claim->key == key && claim->id == id;
    };
    return std::ranges::any_of(m.objects, [&](const auto& entry) {
        const auto segment = value_of(decode_segment(entry.second.body));
        return std::ranges::any_of(segment.records, is_matching_claim);
    });
}

/// Executes the granted request at a target, which counts it.
void run_work(model& m, std::size_t host, std::uint64_t life, std::uint64_t request,
              claim_number number, const claim_key& key, bool answer_is_lost)
{
    if (is_replaced(m, host, life)) {
        return;
    }
    auto& r = m.requests[request];
    r.dispatched = true;
    if (r.refused_as_not_run) {
        record_violation(m, "a request that was refused as not run was sent to a target");
    }
    if (!is_durable(m, key, {name_of_host(host), incarnation(life), number})) {
        record_violation(m, "a request was sent to a target before its claim was durable");
    }
    if (++m.runs[key] > 1) {
        record_violation(m, "a key ran twice");
    }
    const auto end = answer_is_lost ? claim_end::unknown : claim_end::ran;
    at(m, m.now + work_time, [&m, host, life, request, number, end] {
        finish_work(m, host, life, request, number, end);
    });
}

void dispatch(model& m, std::size_t host, const claim_verdict_effect& e, const claim_key& key)
{
    const auto life = m.hosts[host].life;
    const auto fault = next_fault(m);
    start_host_fault(m, host, fault);
    if (is_replaced(m, host, life)) {
        return;
    }
    if (fault == claim_fault::lost_before) {
        // Nothing was written to the target, so the request certainly was not run.
        at(m, m.now + call_timeout, [&m, host, life, e] {
            finish_work(m, host, life, e.request, e.number, claim_end::not_run);
        });
        return;
    }
    const auto paused = std::max(m.hosts[host].paused_until - m.now, milliseconds{0});
    const auto travel = fault == claim_fault::late ? late_delivery_delay : peer_delay + paused;
    const bool answer_is_lost = fault == claim_fault::lost_after;
    at(m, m.now + travel, [&m, host, life, e, key, answer_is_lost] {
        run_work(m, host, life, e.request, e.number, key, answer_is_lost);
    });
}

bool implies_not_run(result_code code)
{
    return code != result_code::claim_still_running && code != result_code::claim_outcome_unknown &&
           code != result_code::claim_answer_not_kept;
}

void perform(model& m, std::size_t host, const claim_verdict_effect& e)
{
    auto& r = m.requests[e.request];
    if (std::holds_alternative<claim_granted>(e.verdict)) {
        dispatch(m, host, e, r.key);
    } else if (const auto* replayed = std::get_if<claim_replayed>(&e.verdict)) {
        record_answer(m, e.request, true);
        if (replayed->answer.body != "first answer") {
            record_violation(m, "a retry got a different answer from the first request");
        }
    } else {
        const auto code = std::get<claim_refused>(e.verdict).code;
        if (r.key == m.key) {
            m.report.last_answer_unknown = code == result_code::claim_outcome_unknown;
        }
        r.refused_as_not_run = implies_not_run(code);
        if (r.refused_as_not_run && r.dispatched) {
            record_violation(m, "a request that ran was refused as not run");
        }
    }
}

/// Records an inexpensive hash of the state that determines further behaviour.
void record_state(model& m)
{
    std::size_t seed = 0;
    for (const auto& h : m.hosts) {
        boost::hash_combine(seed, h.life);
        boost::hash_combine(seed, m.now < h.paused_until);
        boost::hash_combine(seed, m.now < h.cut_until);
        boost::hash_combine(seed, h.state.waiting.size());
        boost::hash_combine(seed, h.state.running.size());
        boost::hash_combine(seed, h.state.unsaved.size());
        boost::hash_combine(seed, h.state.own.size());
        for (const auto& [id, writer] : h.state.writers) {
            boost::hash_combine(seed, static_cast<int>(writer.stage));
            boost::hash_combine(seed, writer.queued_claims.size());
            boost::hash_combine(seed, writer.outcomes.size());
            boost::hash_combine(seed, writer.batch.size());
            boost::hash_combine(seed, writer.log.last.version.value_or(0));
            boost::hash_combine(seed, writer.log.revoked_ids.size());
        }
    }
    for (const auto& [key, object] : m.objects) {
        boost::hash_combine(seed, object.body);
    }
    boost::hash_combine(seed, m.actions.size());
    m.report.states.insert(seed);
}

void deliver(model& m, std::size_t host, std::uint64_t life, const claim_event& e)
{
    if (is_replaced(m, host, life)) {
        return;
    }
    auto& h = m.hosts[host];
    if (m.now < h.paused_until) {
        at(m, h.paused_until, [&m, host, life, e] { deliver(m, host, life, e); });
        return;
    }
    update_view(m, host);
    const auto todo = reduce_claims(h.state, h.view, e, to_monotonic(m.now), to_wall(m.now));
    for (const auto& effect : todo) {
        if (is_replaced(m, host, life)) {
            break; // The host crashed between its effects.
        }
        std::visit([&](const auto& one) { perform(m, host, one); }, effect);
    }
    record_state(m);
}

void tick(model& m, std::size_t host)
{
    deliver(m, host, m.hosts[host].life, claim_tick_event{});
    if (m.now < scenario_time) {
        const auto next = std::max(m.now, m.hosts[host].paused_until) + tick_interval;
        at(m, next, [&m, host] { tick(m, host); });
    }
}

/// A caller's attempt through `host`; without a response in time it retries through the next host.
void send_request(model& m, std::size_t host, std::uint64_t request, const claim_key& key,
                  unsigned tries_left)
{
    m.requests[request] = {key, false, false, false};
    const claim_requested_event wanted{request, key, 7, to_monotonic(m.now + request_deadline)};
    deliver(m, host, m.hosts[host].life, wanted);
    if (tries_left == 0) {
        return;
    }
    at(m, m.now + caller_timeout, [&m, host, request, key, tries_left] {
        if (!m.requests[request].answered) {
            send_request(m, (host + 1) % host_count, request + 1, key, tries_left - 1);
        }
    });
}

claim_key make_key(std::uint8_t last)
{
    claim_key key{};
    const auto ms = start_wall_ms;
    for (unsigned i = 0; i < 6; ++i) {
        key.data[i] = static_cast<std::uint8_t>(ms >> (8U * (5U - i)));
    }
    key.data[6] = 0x70;
    key.data[8] = 0x80;
    key.data[15] = last;
    return key;
}

/// Picks three keys of the same log, so that one write can carry several records.
void choose_keys(model& m)
{
    m.key = make_key(1);
    std::uint8_t last = 2;
    const auto next_of_same_log = [&] {
        auto key = make_key(last++);
        while (bucket_of(key) != bucket_of(m.key)) {
            key = make_key(last++);
        }
        return key;
    };
    m.other_key = next_of_same_log();
    m.third_key = next_of_same_log();
}

void check_end(model& m)
{
    m.report.runs = m.runs[m.key];
    const bool has_definite_result = m.report.answered || m.report.last_answer_unknown;
    if (!has_definite_result) {
        record_violation(m,
                         "a retry after all faults got neither an answer nor an unknown outcome");
    }
    if (m.report.answered && m.runs[m.key] == 0) {
        record_violation(m, "a request was answered although its key never ran");
    }
}

} // namespace

claim_run_report run_claim_scenario(const fault_plan& plan)
{
    constexpr unsigned resends = 5;
    constexpr std::uint64_t parallel_request = 100;
    constexpr std::uint64_t other_request = 200;
    constexpr std::uint64_t last_request = 300;
    constexpr std::uint64_t third_request = 400;
    // Arrives while the first write is in flight, so that it is batched into the next one.
    constexpr milliseconds third_key_at{115};
    model m(plan);
    choose_keys(m);
    for (std::size_t i = 0; i < host_count; ++i) {
        at(m, milliseconds(10 * i), [&m, i] { tick(m, i); });
    }
    at(m, milliseconds(100), [&m] { send_request(m, 0, 1, m.key, resends); });
    at(m, milliseconds(101), [&m] { send_request(m, 1, parallel_request, m.key, 1); });
    at(m, milliseconds(101), [&m] { send_request(m, 2, other_request, m.other_key, 1); });
    at(m, third_key_at, [&m] { send_request(m, 2, third_request, m.third_key, 1); });
    at(m, last_resend_at, [&m] { send_request(m, 2, last_request, m.key, resends); });
    m.actions.run(m.now);
    check_end(m);
    return std::move(m.report);
}

} // namespace almondquay
