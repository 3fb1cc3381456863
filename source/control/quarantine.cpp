#include "control/quarantine.h"

#include "control/decisions.h"
#include "control/store_followers.h"

#include <algorithm>

namespace almondquay {

namespace {

/// Hosts whose heartbeat was never received are notified too.
bool should_notify(const control_state& state, const host_id& id)
{
    const auto peer = state.membership.members.find(id);
    const bool is_dead = peer != state.membership.members.end() && !peer->second.alive;
    return id != state.self.host && !is_dead;
}

/// Whether crash evidence is sent only to the followers of the store.
bool sends_evidence_to_followers(const control_state& state)
{
    return state.self.has_inventory &&
           state.fleet.configuration.hosts.size() > max_hosts_sharing_evidence;
}

/// Whether this host receives the crash evidence of all hosts.
bool receives_all_evidence(const control_state& state)
{
    return !sends_evidence_to_followers(state) || state.inventory.own_rank < followers_per_region;
}

void forward_evidence(const control_state& state, const crash_evidence& evidence, effects& out)
{
    if (sends_evidence_to_followers(state)) {
        for (const auto* h : all_followers(state, state.now)) {
            if (h->id != state.self.host) {
                out.emplace_back(share_evidence_effect{h->peers, evidence});
            }
        }
        return;
    }
    for (const auto& [id, h] : state.fleet.configuration.hosts) {
        if (should_notify(state, id)) {
            out.emplace_back(share_evidence_effect{h.peers, evidence});
        }
    }
}

/// Sends the evidence against a request that this host has quarantined to hosts that do not receive
/// crash evidence themselves. The first follower of each region sends to all hosts and the second
/// one to those of its own region, so that every host is notified several times and none is
/// missed if one follower is lost.
void share_quarantine_evidence(const control_state& state, request_fingerprint fingerprint,
                               const suspect& s, effects& out)
{
    if (!sends_evidence_to_followers(state) || !receives_all_evidence(state)) {
        return;
    }
    const auto& text = state.fleet.configuration;
    const auto home = region_of(text, state.self.domain);
    for (const auto& [id, h] : text.hosts) {
        const bool is_near = region_of(text, h.domain) == home;
        const bool is_in_charge = state.inventory.own_rank == 0 || is_near;
        if (!is_in_charge || !should_notify(state, id)) {
            continue;
        }
        for (const auto& t : s.targets) {
            out.emplace_back(share_evidence_effect{h.peers, {fingerprint, s.description, t}});
        }
    }
}

/// Whether another suspect was in flight at all crashes recorded for this one. If so, neither is
/// quarantined until a further crash distinguishes them.
bool is_ambiguous(const control_state& state, request_fingerprint fingerprint, const suspect& s)
{
    return std::ranges::any_of(state.suspects, [&](const auto& entry) {
        const auto shared = std::ranges::count_if(
            s.targets, [&](const target_id& t) { return entry.second.targets.contains(t); });
        return entry.first != fingerprint &&
               static_cast<std::size_t>(shared) >= crashes_to_quarantine &&
               static_cast<std::size_t>(shared) >= s.targets.size();
    });
}

std::string joined(const std::set<target_id>& targets)
{
    std::string text;
    for (const auto& t : targets) {
        text += (text.empty() ? "" : ", ") + t.value;
    }
    return text;
}

/// Whether the evidence identifies this request as the cause. The evidence about all requests in
/// flight at a crash arrives at about the same time, so the latest must be `evidence_settling_time`
/// old.
bool is_identified(const control_state& state, const event& e, request_fingerprint fingerprint,
                   const suspect& s)
{
    return s.targets.size() >= crashes_to_quarantine &&
           e.now - s.latest >= evidence_settling_time && !state.quarantined.contains(fingerprint) &&
           !is_ambiguous(state, fingerprint, s);
}

void quarantine(control_state& state, const event& e, request_fingerprint fingerprint,
                const suspect& s, effects& out)
{
    auto& q = state.quarantined[fingerprint];
    q.description = s.description;
    q.until = e.now + quarantine_time;
    q.decided_by = decide(
        state, out, e.wall,
        {"quarantine_request",
         "a request in flight at the crashes of several targets, and never served, is refused",
         "Request " + s.description + " is refused on this host: it was in flight when " +
             joined(s.targets) + " crashed.",
         {},
         {{"fingerprint", std::to_string(fingerprint)},
          {"crashes", std::to_string(s.targets.size())}}});
    state.snapshot_is_stale = true;
    share_quarantine_evidence(state, fingerprint, s, out);
}

void end_quarantine(control_state& state, const event& e, request_fingerprint fingerprint,
                    const std::string& rule, effects& out)
{
    const auto found = state.quarantined.find(fingerprint);
    if (found == state.quarantined.end()) {
        return;
    }
    decide(state, out, e.wall,
           {"release_request",
            rule,
            "Request " + found->second.description + " is accepted again.",
            {found->second.decided_by},
            {{"fingerprint", std::to_string(fingerprint)}}});
    state.quarantined.erase(found);
    state.snapshot_is_stale = true;
}

} // namespace

void handle_crash_evidence(control_state& state, const event& e,
                           const crash_evidence_event& evidence, effects& out)
{
    const auto fingerprint = evidence.crash.fingerprint;
    if (!evidence.from_peer && !receives_all_evidence(state)) {
        // This host does not receive the evidence of others and could identify the wrong request.
        if (state.fleet.configuration.targets.contains(evidence.crash.target)) {
            forward_evidence(state, evidence.crash, out);
        }
        return;
    }
    const bool has_room =
        state.suspects.size() < max_suspects || state.suspects.contains(fingerprint);
    if (!state.fleet.configuration.targets.contains(evidence.crash.target) || !has_room) {
        return;
    }
    auto& s = state.suspects[fingerprint];
    s.description = evidence.crash.description;
    s.latest = e.now;
    const bool is_new = s.targets.insert(evidence.crash.target).second;
    if (is_new && !evidence.from_peer) {
        forward_evidence(state, evidence.crash, out);
    }
}

void clear_suspect(control_state& state, const request_cleared_event& cleared)
{
    state.suspects.erase(cleared.fingerprint);
}

void release_request(control_state& state, const event& e, const request_released_event& released,
                     effects& out)
{
    state.suspects.erase(released.fingerprint);
    end_quarantine(state, e, released.fingerprint, "an operator released the request", out);
}

void tick_quarantine(control_state& state, const event& e, effects& out)
{
    std::erase_if(state.suspects, [&](const auto& entry) {
        return e.now - entry.second.latest > evidence_lifetime;
    });
    for (const auto& [fingerprint, s] : state.suspects) {
        if (is_identified(state, e, fingerprint, s)) {
            quarantine(state, e, fingerprint, s, out);
        }
    }
    std::vector<request_fingerprint> expired;
    for (const auto& [fingerprint, q] : state.quarantined) {
        if (e.now >= q.until) {
            expired.push_back(fingerprint);
        }
    }
    for (const auto fingerprint : expired) {
        end_quarantine(state, e, fingerprint, "a quarantine ends after a fixed time", out);
    }
}

} // namespace almondquay
