#include "control/membership.h"

#include "control/decisions.h"

#include <algorithm>

namespace almondquay {

namespace {

constexpr std::size_t near_fanout = 2;
constexpr std::size_t far_fanout = 1;

bool is_near(const control_state& state, const host_id& id)
{
    const auto found = state.fleet.text.hosts.find(id);
    return found != state.fleet.text.hosts.end() && found->second.domain == state.self.domain;
}

gossip_message make_message(const control_state& state)
{
    gossip_message message;
    message.from = state.self.host;
    message.time = state.clock;
    if (state.fleet.envelope) {
        message.in_force = state.fleet.envelope->number;
        message.fingerprint = state.fleet.fingerprint;
    }
    const bool leaving = state.stage == life_stage::leaving || state.stage == life_stage::ending;
    message.beats.push_back({state.self.host, state.self.life, state.membership.own_beat, leaving});
    return message;
}

void add_beat(gossip_message& message, const host_id& id, const member& m)
{
    if (message.beats.size() < max_beats_per_message && m.alive) {
        message.beats.push_back({id, m.life, m.beat, m.leaving});
    }
}

/// Own domain's beats first; the rest of the room goes to others, from a random place on.
void add_beats(control_state& state, gossip_message& message)
{
    std::vector<const std::pair<const host_id, member>*> far;
    for (const auto& entry : state.membership.members) {
        if (is_near(state, entry.first)) {
            add_beat(message, entry.first, entry.second);
        } else {
            far.push_back(&entry);
        }
    }
    std::ranges::shuffle(far, state.random);
    for (const auto* entry : far) {
        add_beat(message, entry->first, entry->second);
    }
}

void send_to_some(control_state& state, std::vector<endpoint> peers, std::size_t fanout,
                  const gossip_message& message, effects& out)
{
    std::ranges::shuffle(peers, state.random);
    peers.resize(std::min(peers.size(), fanout));
    for (auto& peer : peers) {
        out.emplace_back(send_gossip_effect{std::move(peer), message});
    }
}

void send_gossip(control_state& state, effects& out)
{
    auto message = make_message(state);
    add_beats(state, message);
    std::vector<endpoint> near;
    std::vector<endpoint> far;
    for (const auto& [id, h] : state.fleet.text.hosts) {
        if (id != state.self.host) {
            (h.domain == state.self.domain ? near : far).push_back(h.peers);
        }
    }
    if (state.fleet.text.hosts.empty()) {
        near = state.self.seeds;
    }
    send_to_some(state, std::move(near), near_fanout, message, out);
    send_to_some(state, std::move(far), far_fanout, message, out);
}

void mark_dead(control_state& state, const event& e, const host_id& id, member& m, effects& out)
{
    m.alive = false;
    state.snapshot_is_stale = true;
    const auto silence =
        std::chrono::duration_cast<std::chrono::milliseconds>(e.now - m.last_advance);
    state.membership.last_change =
        decide(state, out, e.wall,
               {"host_dead",
                "a host without a newer beat for the timeout is taken for dead",
                "Host " + id.value + " is taken for dead and leaves the look-up answers.",
                {},
                {{"silence_ms", std::to_string(silence.count())},
                 {"incarnation", std::to_string(m.life.value)}}});
}

void mark_alive(control_state& state, const event& e, const member_beat& beat, bool is_new,
                effects& out)
{
    state.snapshot_is_stale = true;
    const std::string what = is_new ? " has joined" : " has returned";
    state.membership.last_change =
        decide(state, out, e.wall,
               {"host_alive",
                "a host with a newer beat is alive",
                "Host " + beat.id.value + what + (beat.leaving ? " and is leaving." : "."),
                {},
                {{"incarnation", std::to_string(beat.life.value)}}});
}

void take_beat(control_state& state, const event& e, const member_beat& beat, effects& out)
{
    if (beat.id == state.self.host) {
        return;
    }
    auto [place, is_new] = state.membership.members.try_emplace(beat.id);
    auto& m = place->second;
    const bool is_newer = std::tie(beat.life, beat.beat) > std::tie(m.life, m.beat);
    if (!is_new && !is_newer) {
        return;
    }
    const bool changed = is_new || !m.alive || m.leaving != beat.leaving || m.life != beat.life;
    m = {beat.life, beat.beat, beat.leaving, true, e.now};
    if (changed) {
        mark_alive(state, e, beat, is_new, out);
    }
}

/// While this process was paused nobody's beats could arrive, so the pause counts for nobody.
void forgive_own_pause(membership_state& membership, monotonic_time now)
{
    const auto gap = now - membership.last_tick;
    const bool was_paused = membership.last_tick != monotonic_time{} && gap > pause_threshold;
    if (was_paused) {
        for (auto& [id, m] : membership.members) {
            m.last_advance += gap;
        }
    }
    membership.last_tick = now;
}

const endpoint* peer_endpoint(const control_state& state, const host_id& id)
{
    const auto found = state.fleet.text.hosts.find(id);
    return found == state.fleet.text.hosts.end() ? nullptr : &found->second.peers;
}

} // namespace

void tick_membership(control_state& state, const event& e, effects& out)
{
    forgive_own_pause(state.membership, e.now);
    ++state.membership.own_beat;
    for (auto& [id, m] : state.membership.members) {
        const auto timeout = is_near(state, id) ? near_timeout : far_timeout;
        if (m.alive && e.now - m.last_advance > timeout) {
            mark_dead(state, e, id, m, out);
        }
    }
    state.clock = advance(state.clock, e.wall);
    send_gossip(state, out);
}

void take_gossip(control_state& state, const event& e, const gossip_message& message, effects& out)
{
    state.clock = advance(state.clock, message.time, e.wall);
    for (const auto& beat : message.beats) {
        take_beat(state, e, beat, out);
    }
    const auto own = state.fleet.envelope ? state.fleet.envelope->number : generation{};
    if (message.in_force > own) {
        if (const auto* peer = peer_endpoint(state, message.from)) {
            out.emplace_back(fetch_fleet_effect{*peer});
        }
    }
}

void announce(control_state& state, effects& out)
{
    const auto message = make_message(state);
    for (const auto* h : hosts_of(state.fleet.text, state.self.domain)) {
        if (h->id != state.self.host) {
            out.emplace_back(send_gossip_effect{h->peers, message});
        }
    }
}

std::set<host_id> live_hosts(const control_state& state)
{
    std::set<host_id> live;
    for (const auto& [id, m] : state.membership.members) {
        if (m.alive && !m.leaving) {
            live.insert(id);
        }
    }
    if (state.stage == life_stage::serving) {
        live.insert(state.self.host);
    }
    return live;
}

} // namespace almondquay
