#include "control/unreachable_targets.h"

#include "control/membership.h"

namespace almondquay {

namespace {

/// Returns whether the target was not left out before.
bool leave_out(control_state& state, const event& e, const target_id& id)
{
    auto& until = state.targets[id].unreachable_until;
    const bool is_new = until == monotonic_time{};
    until = e.now + unreachable_time;
    state.snapshot_is_stale = state.snapshot_is_stale || is_new;
    return is_new;
}

void tell_region(control_state& state, effects& out)
{
    auto& news = state.unreachable_news;
    auto message = make_message(state);
    while (!news.empty() && message.unreachable.size() < max_unreachable_per_message) {
        message.unreachable.push_back(std::move(news.extract(news.begin()).value()));
    }
    const auto home = region_of(state.fleet.text, state.self.domain);
    for (const auto& [id, h] : state.fleet.text.hosts) {
        const auto known = state.membership.members.find(id);
        const bool is_dead = known != state.membership.members.end() && !known->second.alive;
        if (id != state.self.host && !is_dead && region_of(state.fleet.text, h.domain) == home) {
            out.emplace_back(send_gossip_effect{h.peers, message});
        }
    }
}

} // namespace

void note_refused_connection(control_state& state, const event& e, const target_id& id)
{
    // Where hosts have shares of the targets of their own failure domain, each finds out soon.
    if (state.self.has_inventory && leave_out(state, e, id)) {
        state.unreachable_news.insert(id);
    }
}

void take_unreachable(control_state& state, const event& e, const std::vector<target_id>& told)
{
    for (const auto& id : told) {
        if (state.fleet.text.targets.contains(id)) {
            leave_out(state, e, id);
            state.unreachable_news.erase(id);
        }
    }
}

void tick_unreachable(control_state& state, const event& e, effects& out)
{
    for (auto& [id, health] : state.targets) {
        if (health.unreachable_until != monotonic_time{} && e.now >= health.unreachable_until) {
            health.unreachable_until = {};
            state.snapshot_is_stale = true;
        }
    }
    if (!state.unreachable_news.empty()) {
        tell_region(state, out);
    }
}

} // namespace almondquay
