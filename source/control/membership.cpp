#include "control/membership.h"

#include "control/decisions.h"
#include "control/peer_inventory.h"
#include "control/probing.h"
#include "control/store_era.h"
#include "control/target_limits.h"
#include "control/unreachable_targets.h"

#include <algorithm>

namespace almondquay {

namespace {

constexpr std::size_t max_near_beats = 5;
constexpr std::size_t max_far_beats = 5;
static_assert(1 + max_near_beats + max_far_beats <= max_heartbeats_per_message);
/// In regions with more hosts only those of the same failure domain are near.
constexpr std::size_t max_hosts_of_near_region = 6;
/// Announcements go to all hosts in fleets up to this size, to the near hosts in larger ones.
constexpr std::size_t max_hosts_announced_to = 24;
constexpr std::size_t max_messages_per_tick = 3;
/// Must exceed the size of the largest message, which could otherwise never be sent.
constexpr double max_gossip_credit = 2.0 * max_datagram_bytes;
constexpr std::chrono::seconds death_gossip_time{60};
/// Deaths more recent than this take precedence over other heartbeats.
constexpr std::chrono::seconds urgent_death_time{10};
/// A death is told to all hosts of fleets up to this size, since each may name the dead host in
/// look-up answers; in larger ones to a few of each other failure domain.
constexpr std::size_t max_hosts_notified_of_death = 256;
constexpr std::size_t hosts_notified_per_other_domain = 4;
/// One message in three goes to another failure domain.
constexpr std::uint64_t cross_domain_interval = 3;
/// Size of a message without heartbeats: signature, header, time, generation, fingerprint and the
/// IP and UDP headers.
constexpr std::size_t bytes_per_message = 150;
/// Size of a heartbeat without the host id.
constexpr std::size_t bytes_per_beat = 19;

using domain_set = std::set<failure_domain_id>;

/// The failure domains whose hosts send gossip to each other directly: this host's own and, in a
/// small region, all of the region, since look-up answers list all its hosts.
domain_set near_domains(const control_state& state)
{
    const auto& configuration = state.fleet.configuration;
    const auto home = region_of(configuration, state.self.domain);
    domain_set domains;
    for (const auto& [id, domain] : configuration.domains) {
        if (domain.in_region == home) {
            domains.insert(id);
        }
    }
    const auto hosts = std::ranges::count_if(configuration.hosts, [&](const auto& entry) {
        return domains.contains(entry.second.domain);
    });
    if (hosts > static_cast<std::ptrdiff_t>(max_hosts_of_near_region)) {
        domains.clear();
    }
    domains.insert(state.self.domain);
    return domains;
}

bool is_near(const control_state& state, const domain_set& near, const host_id& id)
{
    const auto found = state.fleet.configuration.hosts.find(id);
    return found != state.fleet.configuration.hosts.end() && near.contains(found->second.domain);
}

/// The number of hosts in these failure domains, including this one if the fleet lists it.
std::size_t count_hosts(const control_state& state, const domain_set& near)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(state.fleet.configuration.hosts, [&](const auto& entry) {
            return near.contains(entry.second.domain);
        }));
}

using member_entry = std::pair<const host_id, member>;

bool is_urgent_death(const member& m, monotonic_time now)
{
    return !m.alive && m.is_death_confirmed && now - m.died < urgent_death_time;
}

void add_random_heartbeats(control_state& state, std::vector<const member_entry*> entries,
                           std::size_t max_heartbeats, gossip_message& message)
{
    std::ranges::shuffle(entries, state.random);
    std::stable_partition(entries.begin(), entries.end(), [&](const member_entry* entry) {
        return is_urgent_death(entry->second, state.now);
    });
    entries.resize(std::min(entries.size(), max_heartbeats));
    for (const auto* entry : entries) {
        const auto& [id, m] = *entry;
        message.heartbeats.push_back({id, m.life, m.beat, m.leaving, !m.alive, m.starting});
    }
}

/// Messages to near hosts carry only the heartbeats of near hosts and recent deaths, so that they
/// are small and frequent. Messages to other domains also carry those of far hosts, as far as they
/// fit.
void add_beats(control_state& state, const domain_set& near_domains, bool to_near,
               gossip_message& message)
{
    const auto now = state.membership.last_tick;
    std::vector<const member_entry*> near;
    std::vector<const member_entry*> far;
    for (const auto& entry : state.membership.members) {
        // Recent deaths are included because hosts of other domains would otherwise detect them
        // much later.
        const bool is_recent_death =
            entry.second.is_death_confirmed && now - entry.second.died < death_gossip_time;
        if (entry.second.alive || is_recent_death) {
            (is_near(state, near_domains, entry.first) ? near : far).push_back(&entry);
        }
    }
    add_random_heartbeats(state, std::move(near), max_near_beats, message);
    if (to_near) {
        std::erase_if(
            far, [&](const member_entry* entry) { return !is_urgent_death(entry->second, now); });
    }
    add_random_heartbeats(state, std::move(far), max_far_beats, message);
}

std::vector<endpoint> gossip_peers(const control_state& state, const domain_set& near_domains,
                                   bool near)
{
    std::vector<endpoint> peers;
    for (const auto& [id, h] : state.fleet.configuration.hosts) {
        if (id != state.self.host && near_domains.contains(h.domain) == near) {
            peers.push_back(h.peers);
        }
    }
    const bool knows_nobody = state.fleet.configuration.hosts.size() <= 1;
    return knows_nobody ? state.self.seeds : peers;
}

std::size_t estimated_bytes(const gossip_message& message)
{
    std::size_t bytes = bytes_per_message;
    for (const auto& beat : message.heartbeats) {
        bytes += bytes_per_beat + beat.id.value.size();
    }
    return bytes;
}

/// Sends a message to a random peer if the bandwidth budget permits.
bool send_to_random_peer(control_state& state, const domain_set& near_domains, bool near,
                         effects& out)
{
    auto peers = gossip_peers(state, near_domains, near);
    if (peers.empty()) {
        return true;
    }
    auto message = make_message(state);
    add_beats(state, near_domains, near, message);
    const auto bytes = static_cast<double>(estimated_bytes(message));
    if (bytes > state.membership.gossip_credit) {
        return false;
    }
    state.membership.gossip_credit -= bytes;
    const auto peer = state.random() % peers.size();
    out.emplace_back(send_gossip_effect{std::move(peers[peer]), std::move(message)});
    return true;
}

/// Sends as many messages as the bandwidth budget permits, most of them within the failure domain.
void send_gossip(control_state& state, const domain_set& near_domains,
                 std::chrono::duration<double> passed, effects& out)
{
    auto& membership = state.membership;
    const auto earned = std::min(passed.count(), 1.0) * gossip_bytes_per_second;
    membership.gossip_credit = std::min(membership.gossip_credit + earned, max_gossip_credit);
    for (std::size_t sent = 0; sent < max_messages_per_tick; ++sent) {
        const bool near = membership.gossip_messages_sent % cross_domain_interval != 0;
        if (!send_to_random_peer(state, near_domains, near, out)) {
            return;
        }
        ++membership.gossip_messages_sent;
    }
}

/// Without an inventory, claims depend on the set of live hosts, so a change takes effect at once;
/// with one, it takes effect at the next tick.
void mark_hosts_changed(control_state& state)
{
    (state.self.has_inventory ? state.hosts_changed : state.snapshot_is_stale) = true;
}

void declare_dead(control_state& state, const event& e, const host_id& id, member& m, effects& out)
{
    m.alive = false;
    m.died = e.now;
    mark_hosts_changed(state);
    const auto silence =
        std::chrono::duration_cast<std::chrono::milliseconds>(e.now - m.last_advance);
    state.membership.last_change =
        decide(state, out, e.wall,
               {"host_dead",
                "a host without a newer heartbeat within the timeout is declared dead",
                "Host " + id.value + " is declared dead and removed from look-up answers.",
                {},
                {{"host", id.value},
                 {"silence_ms", std::to_string(silence.count())},
                 {"incarnation", std::to_string(m.life.value)}}});
}

void mark_alive(control_state& state, const event& e, const member_heartbeat& beat, bool is_new,
                effects& out)
{
    mark_hosts_changed(state);
    const std::string what = is_new ? " has joined" : " has returned";
    state.membership.last_change =
        decide(state, out, e.wall,
               {"host_alive",
                "a host with a newer heartbeat is alive",
                "Host " + beat.id.value + what + (beat.leaving ? " and is leaving." : "."),
                {},
                {{"host", beat.id.value}, {"incarnation", std::to_string(beat.life.value)}}});
}

/// Declares a host dead that another host reports as dead, unless a newer heartbeat is known. A
/// host that is not known yet is recorded as dead, so that its older heartbeats, which may still
/// arrive, are ignored.
void handle_reported_death(control_state& state, const event& e, const member_heartbeat& beat,
                           effects& out)
{
    auto [place, is_new] = state.membership.members.try_emplace(beat.id);
    auto& m = place->second;
    if (is_new) {
        m = {beat.life, beat.beat, beat.leaving, beat.starting, false, true, e.now, e.now};
        return;
    }
    if (m.alive && std::tie(beat.life, beat.beat) >= std::tie(m.life, m.beat)) {
        m.life = beat.life;
        m.beat = beat.beat;
        declare_dead(state, e, beat.id, m, out);
        m.is_death_confirmed = true;
    }
}

void handle_heartbeat(control_state& state, const event& e, const member_heartbeat& beat,
                      effects& out)
{
    if (beat.id == state.self.host) {
        return;
    }
    if (beat.dead) {
        handle_reported_death(state, e, beat, out);
        return;
    }
    auto [place, is_new] = state.membership.members.try_emplace(beat.id);
    auto& m = place->second;
    const bool is_newer = std::tie(beat.life, beat.beat) > std::tie(m.life, m.beat);
    if (!is_new && !is_newer) {
        return;
    }
    const bool changed = is_new || !m.alive || m.leaving != beat.leaving ||
                         m.starting != beat.starting || m.life != beat.life;
    m = {beat.life, beat.beat, beat.leaving, beat.starting, true, false, m.died, e.now};
    if (changed) {
        mark_alive(state, e, beat, is_new, out);
    }
}

/// While this process was paused it received no heartbeats, so the pause does not count as silence.
void exclude_own_pause(membership_state& membership, monotonic_time now)
{
    const auto gap = now - membership.last_tick;
    const bool was_paused = membership.last_tick != monotonic_time{} && gap > pause_threshold;
    if (was_paused) {
        membership.resumed = now;
        for (auto& [id, m] : membership.members) {
            // Messages that waited during the pause may have been handled before this tick.
            m.last_advance = std::min(m.last_advance + gap, now);
        }
    }
    membership.last_tick = now;
}

/// Declares a neighbour dead after an unrefuted suspicion and notifies the others. Gossip
/// propagates the death to those that miss it.
void confirm_suspicion(control_state& state, const event& e, const host_id& id, effects& out)
{
    auto& m = state.membership.members.at(id);
    // Other hosts may know later heartbeats. Adds the most that the host can have sent since, so
    // that the reported death is not older than any of them.
    m.beat += static_cast<std::uint64_t>((e.now - m.last_advance) / tick_interval);
    state.membership.probed.erase(id);
    declare_dead(state, e, id, m, out);
    m.is_death_confirmed = true;
    auto message = make_message(state);
    message.heartbeats.push_back({id, m.life, m.beat, m.leaving, true, m.starting});
    std::map<failure_domain_id, std::size_t> notified;
    const bool to_all = state.fleet.configuration.hosts.size() <= max_hosts_notified_of_death;
    for (const auto& [other, h] : state.fleet.configuration.hosts) {
        const bool is_enough = !to_all && h.domain != state.self.domain &&
                               notified[h.domain] >= hosts_notified_per_other_domain;
        if (other != state.self.host && other != id && !is_enough) {
            ++notified[h.domain];
            out.emplace_back(send_gossip_effect{h.peers, message});
            out.emplace_back(
                send_gossip_effect{h.peers, message}); // Sent twice, since datagrams get lost.
        }
    }
}

/// Hosts that are probed are declared dead only if they do not answer.
void declare_silent_hosts_dead(control_state& state, const event& e, const domain_set& domains,
                               effects& out)
{
    const auto& hosts = state.fleet.configuration.hosts;
    const bool is_probed = is_probed_fleet(state);
    const auto far = far_timeout(hosts.size());
    const auto near = is_probed ? far : near_timeout(count_hosts(state, domains));
    for (auto& [id, m] : state.membership.members) {
        if (!m.alive || e.now - m.last_advance <= std::min(near, far) ||
            (is_probed && hosts.contains(id))) {
            continue;
        }
        const bool is_of_near = is_near(state, domains, id);
        if (e.now - m.last_advance > (is_of_near ? near : far)) {
            declare_dead(state, e, id, m, out);
            m.is_death_confirmed = is_of_near;
        }
    }
}

const endpoint* peer_endpoint(const control_state& state, const host_id& id)
{
    const auto found = state.fleet.configuration.hosts.find(id);
    return found == state.fleet.configuration.hosts.end() ? nullptr : &found->second.peers;
}

} // namespace

gossip_message make_message(const control_state& state)
{
    gossip_message message;
    message.from = state.self.host;
    message.time = state.clock;
    if (state.fleet.envelope) {
        message.in_force = state.fleet.envelope->number;
        message.fingerprint = state.fleet.fingerprint;
    }
    message.era = state.inventory.era;
    message.inventory = revisions_of(state.inventory);
    message.digests = digests_of(state.inventory);
    message.confirmed = confirmation_ages(state, state.now);
    // With an inventory, callers are sent to hosts as soon as these are alive, so a host that does
    // not serve yet announces that. Without one, a host counts as live from its first heartbeat,
    // since claims depend on the set of live hosts.
    const bool is_starting = state.self.has_inventory && state.stage == life_stage::starting;
    const bool leaving = state.stage == life_stage::leaving || state.stage == life_stage::ending;
    message.heartbeats.push_back(
        {state.self.host, state.self.life, state.membership.own_beat, leaving, false, is_starting});
    return message;
}

void tick_membership(control_state& state, const event& e, effects& out)
{
    const auto passed = e.now - state.membership.last_tick;
    exclude_own_pause(state.membership, e.now);
    ++state.membership.own_beat;
    const auto domains = near_domains(state);
    declare_silent_hosts_dead(state, e, domains, out);
    for (const auto& id : tick_probing(state, e.now, out)) {
        confirm_suspicion(state, e, id, out);
    }
    state.clock = advance(state.clock, e.wall);
    send_gossip(state, domains, passed, out);
}

void handle_gossip(control_state& state, const event& e, const gossip_message& message,
                   effects& out)
{
    state.clock = advance(state.clock, message.time, e.wall);
    state.membership.last_message = e.now;
    const auto* peer = peer_endpoint(state, message.from);
    const auto& answer_to = peer != nullptr ? *peer : message.reply_address;
    if (answer_to.port != 0) {
        handle_probe_message(state, e, message, answer_to, out);
    }
    for (const auto& beat : message.heartbeats) {
        handle_heartbeat(state, e, beat, out);
    }
    // A sender that is not listed yet is newer than this host's list of hosts, or that list is far
    // behind. Its message is signed like any other.
    if (answer_to.port == 0) {
        return;
    }
    const auto own = state.fleet.envelope ? state.fleet.envelope->number : generation{};
    if (message.in_force > std::max(own, state.fleet.newest_heard)) {
        state.fleet.newest_heard = message.in_force;
        state.fleet.heard_at = e.now;
    }
    if (message.in_force > own && !state.self.has_inventory) {
        out.emplace_back(fetch_fleet_effect{answer_to});
    }
    note_peer_era(state, e, message.era, message.from, out);
    handle_unreachable_report(state, e, message, out);
    handle_permit_messages(state, e, message, answer_to, out);
    apply_announced_changes(state, e, message, out);
    compare_peer_revisions(state, e, message, answer_to, out);
}

void announce(control_state& state, effects& out)
{
    auto message = make_message(state);
    message.recent_changes = state.inventory.encoded_changes;
    const auto& configuration = state.fleet.configuration;
    const bool to_all = configuration.hosts.size() <= max_hosts_announced_to;
    const auto home = region_of(configuration, state.self.domain);
    const auto domains = near_domains(state);
    for (const auto& [id, h] : configuration.hosts) {
        // The hosts of a region depend on its store followers for changes.
        const bool is_notified =
            to_all || domains.contains(h.domain) ||
            (state.self.has_inventory && region_of(configuration, h.domain) == home);
        if (id != state.self.host && is_notified) {
            out.emplace_back(send_gossip_effect{h.peers, message});
        }
    }
}

void send_state(control_state& state, const std::vector<const host*>& hosts, effects& out)
{
    const auto message = make_message(state);
    for (const auto* h : hosts) {
        if (h->id != state.self.host) {
            out.emplace_back(send_gossip_effect{h->peers, message});
        }
    }
}

std::set<host_id> live_hosts(const control_state& state)
{
    std::set<host_id> live;
    for (const auto& [id, m] : state.membership.members) {
        if (m.alive && !m.leaving && !m.starting) {
            live.insert(id);
        }
    }
    if (state.stage == life_stage::serving) {
        live.insert(state.self.host);
    }
    return live;
}

} // namespace almondquay
