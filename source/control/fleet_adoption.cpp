#include "control/fleet_adoption.h"

#include "config/fleet_text.h"
#include "control/decisions.h"
#include "control/inventory_changes.h"
#include "control/inventory_sync.h"
#include "control/membership.h"

#include <algorithm>
#include <functional>
#include <numeric>

#include <xxhash.h>

namespace almondquay {

namespace {

constexpr std::chrono::milliseconds shortest_backoff{200};
constexpr std::chrono::milliseconds longest_backoff{5'000};
constexpr unsigned max_doublings = 5;

std::uint64_t rank_of(const host_id& id)
{
    return XXH3_64bits(id.value.data(), id.value.size());
}

std::chrono::milliseconds backoff(control_state& state)
{
    const auto doubled = shortest_backoff * (1U << std::min(state.fleet.failures, max_doublings));
    const auto longest = std::min(doubled, longest_backoff).count();
    std::uniform_int_distribution<std::int64_t> jitter(longest / 2, longest);
    return std::chrono::milliseconds(jitter(state.random));
}

bool is_not_newer(const control_state& state, const fleet_envelope& envelope)
{
    return state.fleet.envelope && envelope.number <= state.fleet.envelope->number;
}

/// The platform accepts two texts with the same generation only if it was restored to an older
/// state in between. Neither text replaces the other; the next generation resolves the conflict.
void report_generation_conflict(control_state& state, const event& e,
                                const fleet_envelope& envelope, const std::string& source,
                                effects& out)
{
    const bool disagrees = envelope.number == state.fleet.envelope->number &&
                           fingerprint_of(envelope) != state.fleet.fingerprint;
    if (!disagrees || state.fleet.last_conflict == envelope.number) {
        return;
    }
    state.fleet.last_conflict = envelope.number;
    decide(state, out, e.wall,
           {"fleet_conflict",
            "of two texts with the same generation the first one stays in force",
            "A different text with generation " + std::to_string(envelope.number.value) +
                " was seen; the one in force stays. Apply the intended text again.",
            {state.fleet.adopted_by},
            {{"seen_at", source}}});
}

void refuse(control_state& state, const event& e, generation number, const std::string& changed_by,
            const diagnostics& findings, effects& out)
{
    if (!state.fleet.refused.insert(number).second) {
        return;
    }
    decide(
        state, out, e.wall,
        {"refuse_fleet",
         "a text with errors is never put in force",
         "Generation " + std::to_string(number.value) + " is rejected because its text has errors.",
         {},
         {{"first_finding", to_string(findings.front())},
          {"findings", std::to_string(findings.size())},
          {"changed_by", changed_by}}});
}

/// Time since a peer was known to have this generation or a newer one in force; 0 if none was.
std::chrono::milliseconds time_since_heard(const fleet_state& fleet, generation number,
                                           monotonic_time now)
{
    return fleet.newest_heard >= number
               ? std::chrono::duration_cast<std::chrono::milliseconds>(now - fleet.heard_at)
               : std::chrono::milliseconds{0};
}

/// What a new generation consists of, for the log.
struct adopted_size {
    std::size_t bytes = 0;
    std::size_t parts = 0; ///< added, changed or removed; 0 if the text is not divided
};

void record_adoption(control_state& state, const event& e, generation before,
                     const std::string& source, const adopted_size& size, effects& out)
{
    const auto& envelope = *state.fleet.envelope;
    state.fleet.fingerprint = fingerprint_of(envelope);
    state.fleet.since = e.wall;
    state.snapshot_is_stale = true;
    state.fleet.adopted_by = decide(
        state, out, e.wall,
        {"adopt_fleet",
         "only a higher generation replaces the one in force",
         "Generation " + std::to_string(envelope.number.value) + " is in force: " + envelope.reason,
         {},
         {{"before", std::to_string(before.value)},
          {"source", source},
          {"changed_by", envelope.changed_by},
          {"change", change_id(envelope)},
          {"bytes", std::to_string(size.bytes)},
          {"parts", std::to_string(size.parts)},
          {"heard_ms_ago",
           std::to_string(time_since_heard(state.fleet, envelope.number, e.now).count())}}});
}

void put_in_force(control_state& state, const event& e, const fleet_envelope& envelope,
                  fleet&& text, const std::string& source, effects& out)
{
    const auto before = generation_in_force(state);
    state.fleet.envelope = envelope;
    state.fleet.configuration = std::move(text);
    state.fleet.routes = make_route_table(state.fleet.configuration.routes);
    state.fleet.blocks = make_block_table(state.fleet.configuration.caller_blocks);
    record_adoption(state, e, before, source, {envelope.text.size(), 0}, out);
    // The text alone does not list the hosts that the announcement is sent to.
    apply_inventory_to_fleet(state);
    if (!state.self.has_inventory) {
        announce(state, out); // Otherwise the followers announce all changes of their lists.
    }
}

const fleet_parts& parts_of(const fleet_envelope& envelope)
{
    static const fleet_parts none;
    return envelope.parts ? *envelope.parts : none;
}

const fleet_parts& parts_in_force(const control_state& state)
{
    static const fleet_envelope none;
    return parts_of(state.fleet.envelope ? *state.fleet.envelope : none);
}

/// Puts a complete configuration in force that was read as a whole.
void adopt_parts(control_state& state, const event& e, const fleet_envelope& envelope,
                 const std::string& source, effects& out)
{
    const auto& parts = parts_of(envelope);
    fleet_change change{generation_in_force(state), envelope.number, parts.fingerprint,
                        difference(parts_in_force(state), parts)};
    auto encoded = encode(change);
    adopt_change(state, e, std::move(change), std::move(encoded), source, out);
}

/// Records the names of the changed parts, so that peers can be sent the changes that they lack.
void record_changed_parts(control_state& state, const fleet_change& change)
{
    const store_revision at{change.number.value};
    if (!state.fleet.envelope) {
        record_list_replacement(state.inventory, inventory_kind::configuration, at);
        return;
    }
    for (const auto& [name, text] : change.parts.changed) {
        record_change(state.inventory, inventory_kind::configuration, at, name);
    }
    for (const auto& name : change.parts.removed) {
        record_change(state.inventory, inventory_kind::configuration, at, name);
    }
}

void report_misfit(control_state& state, const event& e, const fleet_change& change,
                   const std::string& source, effects& out)
{
    state.fleet.needs_whole_copy = true;
    decide(state, out, e.wall,
           {"refuse_change",
            "a change is applied only if its result has the fingerprint that the sender has",
            "A change to generation " + std::to_string(change.number.value) +
                " does not fit the one in force; the whole configuration is requested.",
            {state.fleet.adopted_by},
            {{"source", source}, {"since", std::to_string(change.since.value)}}});
}

/// Replaces the parsed form of the changed parts.
void update_configuration(fleet_state& f, const fleet& replaced, fleet&& added,
                          const parts_change& change)
{
    for (const auto& [id, s] : replaced.services) {
        f.configuration.services.erase(id);
    }
    f.configuration.services.merge(added.services);
    if (change.changed.contains(limits_part) ||
        std::ranges::find(change.removed, limits_part) != change.removed.end()) {
        f.configuration.limits = added.limits; // The defaults if the part was removed.
    }
    f.routes = f.routes ? update_route_table(*f.routes, replaced.routes, added.routes)
                        : make_route_table(added.routes);
}

std::size_t bytes_of(const part_texts& texts)
{
    return std::transform_reduce(texts.begin(), texts.end(), std::size_t{0}, std::plus<>{},
                                 [](const auto& part) { return part.second.size(); });
}

/// Writes the configuration in force back to a platform that was restored to an older state.
void restore_platform(control_state& state, const event& e, const fleet_envelope& seen,
                      effects& out)
{
    const bool is_behind = state.fleet.envelope && seen.number < state.fleet.envelope->number;
    if (!is_behind || state.fleet.write_running) {
        return;
    }
    state.fleet.write_running = true;
    decide(state, out, e.wall,
           {"restore_platform",
            "a platform with a lower generation than the one in force is restored from it",
            "The platform holds generation " + std::to_string(seen.number.value) +
                ", older than the one in force, which is written back.",
            {state.fleet.adopted_by},
            {{"in_force", std::to_string(state.fleet.envelope->number.value)}}});
    out.emplace_back(write_fleet_effect{*state.fleet.envelope, state.fleet.platform_version});
}

} // namespace

generation generation_in_force(const control_state& state)
{
    return state.fleet.envelope ? state.fleet.envelope->number : generation{};
}

fleet_envelope whole_envelope(const control_state& state)
{
    auto envelope = state.fleet.envelope.value_or(fleet_envelope{});
    if (envelope.parts && state.self.codec.join != nullptr) {
        envelope.text = state.self.codec.join(*envelope.parts, envelope.number);
    }
    return envelope;
}

bool adopt_change(control_state& state, const event& e, fleet_change change, std::string encoded,
                  const std::string& source, effects& out)
{
    auto& f = state.fleet;
    const auto encoded_since = change.since;
    const auto before = generation_in_force(state);
    const bool has_gap = change.since > before;
    if (change.number <= before || has_gap) {
        return false;
    }
    if (change.since.value == 0 && f.envelope) {
        fleet_parts whole;
        for (auto& [name, text] : change.parts.changed) {
            set_part(whole, name, std::move(text));
        }
        change.parts = difference(parts_in_force(state), whole);
        change.since = before;
    }
    if (fingerprint_after(parts_in_force(state), change.parts) != change.fingerprint) {
        report_misfit(state, e, change, source, out);
        return false;
    }
    auto added = state.self.codec.parse(change.parts.changed);
    auto replaced = state.self.codec.parse(replaced_texts(parts_in_force(state), change.parts));
    for (const auto* parsed : {&added, &replaced}) {
        if (const auto* findings = std::get_if<diagnostics>(parsed)) {
            refuse(state, e, change.number, "", *findings, out);
            return false;
        }
    }
    record_changed_parts(state, change);
    update_configuration(f, std::get<fleet>(replaced), std::get<fleet>(std::move(added)),
                         change.parts);
    f.latest_change = std::move(encoded);
    f.latest_change_since = encoded_since;
    f.needs_whole_copy = false;
    if (!f.envelope) {
        f.envelope.emplace();
        f.envelope->parts.emplace();
    }
    f.envelope->number = change.number;
    const adopted_size size{bytes_of(change.parts.changed),
                            change.parts.changed.size() + change.parts.removed.size()};
    apply_change(*f.envelope->parts, change.parts);
    record_adoption(state, e, before, source, size, out);
    apply_inventory_to_fleet(state);
    return true;
}

std::string encoded_change_since(const control_state& state, generation have)
{
    const auto& f = state.fleet;
    if (!f.envelope || f.envelope->number <= have) {
        return {};
    }
    if (!f.latest_change.empty() && f.latest_change_since == have) {
        return f.latest_change;
    }
    const auto& parts = parts_in_force(state);
    fleet_change change{{}, f.envelope->number, parts.fingerprint, {}};
    const store_revision since{have.value};
    const auto kind = inventory_kind::configuration;
    if (have.value == 0 || !has_all_changes(state.inventory, kind, since)) {
        change.parts.changed = parts.texts;
        return encode(change);
    }
    change.since = have;
    for (const auto& name : changed_names(state.inventory, kind, since)) {
        const auto part = parts.texts.find(name);
        if (part != parts.texts.end()) {
            change.parts.changed.insert(*part);
        } else {
            change.parts.removed.push_back(name);
        }
    }
    return encode(change);
}

void adopt(control_state& state, const event& e, const fleet_envelope& envelope,
           const std::string& source, effects& out)
{
    if (is_not_newer(state, envelope)) {
        report_generation_conflict(state, e, envelope, source, out);
        return;
    }
    if (state.self.codec.parse != nullptr) {
        adopt_parts(state, e, envelope, source, out);
        return;
    }
    auto parsed = parse_fleet(envelope.text, "fleet");
    if (const auto* findings = std::get_if<diagnostics>(&parsed)) {
        refuse(state, e, envelope.number, envelope.changed_by, *findings, out);
        return;
    }
    put_in_force(state, e, envelope, std::get<fleet>(std::move(parsed)), source, out);
}

void start_serving_if_ready(control_state& state, const event& e, effects& out)
{
    if (state.stage != life_stage::starting || !knows_enough_to_serve(state)) {
        return;
    }
    state.stage = life_stage::serving;
    state.snapshot_is_stale = true;
    decide(state, out, e.wall,
           {"start_serving",
            "a host serves once it knows the configuration in force from the platform or a peer",
            "This host starts serving.",
            {state.fleet.adopted_by},
            {{"platform", state.fleet.platform_reachable ? "answered" : "out of reach"}}});
}

bool is_watcher(const control_state& state)
{
    const auto live = live_hosts(state);
    std::vector<host_id> ranked;
    for (const auto* h : hosts_of(state.fleet.configuration, state.self.domain)) {
        if (live.contains(h->id) || h->id == state.self.host) {
            ranked.push_back(h->id);
        }
    }
    std::ranges::sort(ranked, {}, rank_of);
    ranked.resize(std::min(ranked.size(), watchers_per_domain));
    return std::ranges::find(ranked, state.self.host) != ranked.end();
}

void tick_fleet(control_state& state, const event& e, effects& out)
{
    auto& f = state.fleet;
    const bool should_watch =
        !state.self.has_inventory && (state.stage == life_stage::starting || is_watcher(state));
    if (should_watch && !f.watch_running && e.now >= f.next_watch) {
        f.watch_running = true;
        const auto wait = f.envelope ? watch_wait : std::chrono::milliseconds{0};
        out.emplace_back(watch_fleet_effect{f.platform_version, wait});
    }
    if (state.stage == life_stage::starting && !f.envelope && !state.self.has_inventory) {
        for (const auto& seed : state.self.seeds) {
            out.emplace_back(fetch_fleet_effect{seed});
        }
    }
}

void handle_fleet_read(control_state& state, const event& e, const fleet_read_event& read,
                       effects& out)
{
    auto& f = state.fleet;
    f.watch_running = false;
    f.platform_answered = true;
    const auto code = code_of(read.object);
    const bool answered = code == result_code::ok || code == result_code::platform_not_found;
    f.platform_reachable = answered;
    f.last_answer = answered ? e.now : f.last_answer;
    f.failures = answered ? 0 : f.failures + 1;
    f.next_watch = answered && f.envelope ? e.now : e.now + backoff(state);
    if (code == result_code::ok) {
        const auto& object = value_of(read.object);
        f.platform_version = object.version;
        const auto envelope = decode_fleet_envelope(object.body);
        if (succeeded(envelope)) {
            adopt(state, e, value_of(envelope), "platform", out);
            restore_platform(state, e, value_of(envelope), out);
        }
    }
    start_serving_if_ready(state, e, out);
}

void handle_fleet_written(control_state& state, const fleet_written_event& written)
{
    state.fleet.write_running = false;
    if (succeeded(written.version)) {
        state.fleet.platform_version = value_of(written.version);
    }
}

void handle_peer_fleet(control_state& state, const event& e, const peer_fleet_event& answer,
                       effects& out)
{
    if (succeeded(answer.envelope) && value_of(answer.envelope).number.value > 0) {
        auto envelope = value_of(answer.envelope);
        if (state.self.codec.split != nullptr) {
            auto parts = state.self.codec.split(envelope.text);
            if (!succeeded(parts)) {
                refuse(state, e, envelope.number, envelope.changed_by,
                       {{code_of(parts), "fleet", 0, error_of(parts).detail}}, out);
                return;
            }
            envelope.parts = std::move(value_of(parts));
        }
        adopt(state, e, envelope, answer.peer, out);
    }
    start_serving_if_ready(state, e, out);
}

} // namespace almondquay
