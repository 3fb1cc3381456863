#include "control/probing.h"

#include "control/membership.h"

#include <algorithm>

#include <xxhash.h>

namespace almondquay {

namespace {

constexpr double hash_range = 18'446'744'073'709'551'616.0; // 2 to the power of 64

std::uint64_t ring_hash(const std::string& name)
{
    // Makes this order differ from other rankings by hash.
    constexpr std::uint64_t seed = 0x52494e47;
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

/// A host and its place on the ring, from 0 to 1.
struct ring_host {
    const host* listed_host = nullptr;
    double place = 0;
};

/// Spreads the hosts of each failure domain evenly over the ring, from a place of its own on.
std::vector<ring_host> make_ring(const fleet& f)
{
    std::map<failure_domain_id, std::vector<std::pair<std::uint64_t, const host*>>> by_domain;
    for (const auto& [id, h] : f.hosts) {
        by_domain[h.domain].emplace_back(ring_hash(id.value), &h);
    }
    std::vector<ring_host> ring;
    for (auto& [domain, of_domain] : by_domain) {
        std::ranges::sort(of_domain);
        const auto first = static_cast<double>(ring_hash(domain.value)) / hash_range;
        for (std::size_t i = 0; i < of_domain.size(); ++i) {
            const auto place =
                (static_cast<double>(i) + first) / static_cast<double>(of_domain.size());
            ring.push_back({of_domain[i].second, place});
        }
    }
    return ring;
}

bool is_declared_dead(const control_state& state, const host_id& id)
{
    const auto found = state.membership.members.find(id);
    return found != state.membership.members.end() && !found->second.alive;
}

/// The other hosts that are not dead. The first `max_neighbours_pinged` of them are in ring order
/// from this host's successor.
std::vector<const host*> neighbours(const control_state& state)
{
    auto ring = make_ring(state.fleet.configuration);
    const auto self = std::ranges::find_if(
        ring, [&](const ring_host& r) { return r.listed_host->id == state.self.host; });
    const auto own = self == ring.end() ? 0 : self->place;
    std::erase_if(ring, [&](const ring_host& r) {
        return r.listed_host->id == state.self.host || is_declared_dead(state, r.listed_host->id);
    });
    for (auto& r : ring) {
        r.place -= r.place >= own ? own : own - 1; // The distance from this host.
    }
    const auto ordered = std::min(ring.size(), max_neighbours_pinged);
    std::ranges::partial_sort(ring, ring.begin() + static_cast<std::ptrdiff_t>(ordered),
                              [](const ring_host& x, const ring_host& y) {
                                  return std::tie(x.place, x.listed_host->id) <
                                         std::tie(y.place, y.listed_host->id);
                              });
    std::vector<const host*> hosts;
    hosts.reserve(ring.size());
    for (const auto& r : ring) {
        hosts.push_back(r.listed_host);
    }
    return hosts;
}

/// Whether a message of another host or an answer of the store has arrived since. Otherwise this
/// host may be cut off, and the silence of others tells nothing about them.
bool has_received_since(const control_state& state, monotonic_time when)
{
    return state.membership.last_message >= when || state.fleet.last_answer >= when;
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

/// Pings a host and suspects it once it is silent. Returns whether it is dead.
bool probe(control_state& state, monotonic_time now, const host& h,
           const std::vector<const host*>& ring, effects& out)
{
    auto& p = state.membership.probed[h.id];
    if (p.silent_since == monotonic_time{}) {
        p.silent_since = now;
    }
    if (now - p.last_ping >= host_probe_interval) {
        p.last_ping = now;
        send_ping(state, h, out);
    }
    if (!state.membership.members.contains(h.id)) {
        return false; // No heartbeat received yet: it may not have started.
    }
    const bool is_suspected = p.suspected_at != monotonic_time{};
    if (!is_suspected && now - p.silent_since < suspicion_threshold) {
        return false;
    }
    if (!is_suspected) {
        p.suspected_at = now;
    } else if (now - p.suspected_at >= suspicion_timeout &&
               has_received_since(state, p.suspected_at)) {
        return true;
    }
    if (now - p.last_indirect_ping >= indirect_ping_interval) {
        p.last_indirect_ping = now;
        request_indirect_pings(state, h, ring, out);
    }
    return false;
}

/// Hosts of the ring without a newer heartbeat for long. Gossip may merely have brought none.
std::vector<const host*> overdue_hosts(const control_state& state,
                                       const std::vector<const host*>& ring, monotonic_time now)
{
    const auto timeout = far_timeout(state.fleet.configuration.hosts.size());
    std::vector<const host*> overdue;
    for (const auto* h : ring) {
        const auto found = state.membership.members.find(h->id);
        const bool is_overdue = found != state.membership.members.end() && found->second.alive &&
                                now - found->second.last_advance > timeout;
        if (is_overdue && overdue.size() < max_neighbours_pinged) {
            overdue.push_back(h);
        }
    }
    return overdue;
}

} // namespace

bool is_probed_fleet(const control_state& state)
{
    return state.fleet.configuration.hosts.size() >= min_probed_hosts;
}

std::vector<host_id> tick_probing(control_state& state, monotonic_time now, effects& out)
{
    auto& membership = state.membership;
    std::vector<host_id> dead;
    std::erase_if(membership.indirect_pings,
                  [&](const auto& entry) { return now >= entry.second.until; });
    if (!is_probed_fleet(state)) {
        membership.probed.clear();
        return dead;
    }
    const auto ring = neighbours(state);
    std::set<host_id> pinged;
    const auto probe_once = [&](const host& h) {
        pinged.insert(h.id);
        if (probe(state, now, h, ring, out)) {
            dead.push_back(h.id);
        }
    };
    std::size_t to_ping = 1;
    bool are_all_silent = true;
    for (const auto* h : ring) {
        if (pinged.size() >= std::min(to_ping, max_neighbours_pinged)) {
            break;
        }
        probe_once(*h);
        if (!membership.members.contains(h->id)) {
            ++to_ping;
            continue;
        }
        const auto silence = now - membership.probed.at(h->id).silent_since;
        are_all_silent = are_all_silent && silence >= next_neighbour_delay;
        if (are_all_silent) {
            to_ping = std::max(to_ping, 2 * pinged.size() + 1);
        }
    }
    for (const auto* h : overdue_hosts(state, ring, now)) {
        if (!pinged.contains(h->id)) {
            probe_once(*h);
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
