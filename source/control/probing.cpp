#include "control/probing.h"

#include "control/membership.h"

#include <algorithm>

#include <xxhash.h>

namespace almondquay {

namespace {

std::uint64_t ring_place(const host_id& id)
{
    // Makes this order differ from other rankings of hosts by hash.
    constexpr std::uint64_t seed = 0x52494e47;
    return XXH3_64bits_withSeed(id.value.data(), id.value.size(), seed);
}

bool is_declared_dead(const control_state& state, const host_id& id)
{
    const auto found = state.membership.members.find(id);
    return found != state.membership.members.end() && !found->second.alive;
}

/// The other hosts of the failure domain that are not dead, in ring order from this host's
/// successor.
std::vector<const host*> neighbours(const control_state& state)
{
    const auto own = ring_place(state.self.host);
    std::vector<const host*> ring;
    for (const auto* h : hosts_of(state.fleet.configuration, state.self.domain)) {
        if (h->id != state.self.host && !is_declared_dead(state, h->id)) {
            ring.push_back(h);
        }
    }
    std::ranges::sort(ring, {}, [&](const host* h) { return ring_place(h->id) - own; });
    return ring;
}

member_heartbeat known_beat(const control_state& state, const host_id& id)
{
    const auto found = state.membership.members.find(id);
    member_heartbeat known;
    known.id = id;
    if (found != state.membership.members.end()) {
        const auto& m = found->second;
        known = {id, m.life, m.beat, m.leaving, !m.alive, m.starting};
    }
    return known;
}

void send_ping(control_state& state, const host& neighbour, effects& out)
{
    auto message = make_message(state);
    message.wants_reply = true;
    message.reply_address = state.self.registration.peers;
    out.emplace_back(send_gossip_effect{neighbour.peers, std::move(message)});
}

/// Asks a few other hosts to ping a silent neighbour (SWIM's indirect probe).
void request_indirect_pings(control_state& state, const host& silent,
                            const std::vector<const host*>& ring, effects& out)
{
    std::vector<const host*> others;
    std::ranges::copy_if(ring, std::back_inserter(others),
                         [&](const host* h) { return h->id != silent.id; });
    std::ranges::shuffle(others, state.random);
    others.resize(std::min(others.size(), hosts_per_indirect_ping));
    auto message = make_message(state);
    message.reply_address = state.self.registration.peers;
    message.suspects.push_back(known_beat(state, silent.id));
    for (const auto* h : others) {
        out.emplace_back(send_gossip_effect{h->peers, message});
    }
}

/// Drops the state of neighbours that are no longer pinged.
void drop_unpinged(std::map<host_id, probed_host>& probed, const std::set<host_id>& pinged)
{
    std::erase_if(probed, [&](const auto& entry) { return !pinged.contains(entry.first); });
}

void handle_indirect_ping_request(control_state& state, const event& e,
                                  const member_heartbeat& suspected, const endpoint& requester,
                                  effects& out)
{
    if (suspected.id == state.self.host) {
        out.emplace_back(send_gossip_effect{requester, make_message(state)});
        return;
    }
    const auto found = state.fleet.configuration.hosts.find(suspected.id);
    if (found != state.fleet.configuration.hosts.end()) {
        state.membership.indirect_pings[suspected.id] = {requester, e.now + suspicion_timeout};
        send_ping(state, found->second, out);
    }
}

} // namespace

bool is_probed_domain(const control_state& state)
{
    return hosts_of(state.fleet.configuration, state.self.domain).size() >= min_probed_hosts;
}

std::vector<host_id> tick_probing(control_state& state, monotonic_time now, effects& out)
{
    auto& membership = state.membership;
    std::vector<host_id> dead;
    std::set<host_id> pinged;
    std::erase_if(membership.indirect_pings,
                  [&](const auto& entry) { return now >= entry.second.until; });
    if (!is_probed_domain(state)) {
        membership.probed.clear();
        return dead;
    }
    const auto ring = neighbours(state);
    for (const auto* h : ring) {
        if (pinged.size() >= max_neighbours_pinged) {
            break;
        }
        pinged.insert(h->id);
        auto& p = membership.probed[h->id];
        if (p.silent_since == monotonic_time{}) {
            p.silent_since = now;
        }
        if (now - p.last_ping >= host_probe_interval) {
            p.last_ping = now;
            send_ping(state, *h, out);
        }
        if (!state.membership.members.contains(h->id)) {
            continue; // No heartbeat received yet: it may not have started.
        }
        const auto silence = now - p.silent_since;
        const bool is_suspected = p.suspected_at != monotonic_time{};
        if (is_suspected && now - p.suspected_at >= suspicion_timeout) {
            dead.push_back(h->id);
        } else if (!is_suspected && silence >= suspicion_threshold) {
            p.suspected_at = now;
            p.last_indirect_ping = now;
            request_indirect_pings(state, *h, ring, out);
        } else if (is_suspected && now - p.last_indirect_ping >= indirect_ping_interval) {
            p.last_indirect_ping = now;
            request_indirect_pings(state, *h, ring, out);
        }
        if (silence < next_neighbour_delay) {
            break;
        }
    }
    drop_unpinged(membership.probed, pinged);
    return dead;
}

void handle_probe_message(control_state& state, const event& e, const gossip_message& message,
                          const endpoint& peer, effects& out)
{
    auto& membership = state.membership;
    if (message.wants_reply) {
        out.emplace_back(send_gossip_effect{peer, make_message(state)});
    }
    for (const auto& suspected : message.suspects) {
        handle_indirect_ping_request(state, e, suspected, peer, out);
    }
    if (const auto probed = membership.probed.find(message.from);
        probed != membership.probed.end()) {
        probed->second.silent_since = e.now;
        probed->second.suspected_at = {};
    }
    for (const auto& beat : message.heartbeats) {
        const auto probed = membership.probed.find(beat.id);
        if (beat.direct && probed != membership.probed.end()) {
            probed->second.silent_since = e.now;
            probed->second.suspected_at = {};
        }
    }
    if (const auto pending = membership.indirect_pings.find(message.from);
        pending != membership.indirect_pings.end() && !message.heartbeats.empty()) {
        auto reply = make_message(state);
        reply.heartbeats.push_back(message.heartbeats.front());
        reply.heartbeats.back().direct = true;
        out.emplace_back(send_gossip_effect{pending->second.requester, std::move(reply)});
        membership.indirect_pings.erase(pending);
    }
}

} // namespace almondquay
