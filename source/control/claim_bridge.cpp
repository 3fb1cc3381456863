#include "control/claim_bridge.h"

#include "control/membership.h"

namespace almondquay {

namespace {

void translate(const control_state& state, claim_message_effect&& e, effects& out)
{
    const auto host = state.fleet.configuration.hosts.find(e.to);
    if (host != state.fleet.configuration.hosts.end()) {
        out.emplace_back(send_claim_message_effect{host->second.peers, std::move(e.message)});
    }
}

template <class Effect> void translate(const control_state& /*state*/, Effect&& e, effects& out)
{
    out.emplace_back(std::forward<Effect>(e));
}

} // namespace

void handle_claim_event(control_state& state, const event& e, const claim_event& body, effects& out)
{
    auto claim_results = reduce_claims(state.claims, state.claim_view, body, e.now, e.wall);
    for (auto& one : claim_results) {
        std::visit([&](auto& effect) { translate(state, std::move(effect), out); }, one);
    }
}

void update_claim_view(control_state& state)
{
    claim_membership view{state.self.host, state.self.life, {}, {}};
    view.alive[state.self.host] = state.self.life;
    for (const auto& [id, m] : state.membership.members) {
        if (m.alive) {
            view.alive[id] = m.life;
        }
    }
    for (const auto& id : live_hosts(state)) {
        view.owners[id] = view.alive[id];
    }
    state.claim_view = std::move(view);
}

} // namespace almondquay
