#include "control/target_limits.h"

#include "control/membership.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace almondquay {

namespace {

using std::chrono::milliseconds;

constexpr double ms_per_second = 1'000;
/// Permits beyond the rate that all regions together may issue at once, besides the limit itself.
constexpr double burst_margin = 3;
constexpr std::chrono::minutes idle_bucket_retention{1};
/// A host that is no longer the issuer denies permits for this long, until the asking host has
/// heard of the change as well.
constexpr milliseconds other_issuer_pause{500};

template <class Id> std::uint64_t rank_for(const target_id& t, const Id& id)
{
    return XXH3_64bits_withSeed(id.value.data(), id.value.size(),
                                XXH3_64bits(t.value.data(), t.value.size()));
}

region_id region_in(const control_state& state, const failure_domain_id& domain)
{
    return region_of(state.fleet.configuration, domain);
}

std::set<region_id> regions_with_hosts(const control_state& state)
{
    std::set<region_id> regions;
    for (const auto& [id, h] : state.fleet.configuration.hosts) {
        regions.insert(region_in(state, h.domain));
    }
    return regions;
}

/// Whether a host counts as live for the choice of an issuer. The first heartbeat of a host takes
/// its time in a large region. If hosts did not count it as live until then, each would choose
/// among the ones that it has heard of, and several hosts would issue permits for the same target.
bool may_issue(const control_state& state, const host_id& id)
{
    if (id == state.self.host) {
        return state.stage == life_stage::serving;
    }
    const auto found = state.membership.members.find(id);
    if (found == state.membership.members.end()) {
        return state.now - state.started < far_timeout(state.inventory.hosts.size());
    }
    return found->second.alive && !found->second.leaving && !found->second.starting;
}

milliseconds time_to_permit(double missing, double rate)
{
    return milliseconds(std::llround(std::ceil(missing / rate * ms_per_second)));
}

permit_reply decide_permit(control_state& state, const event& e, const permit_request& request)
{
    if (issuer_of_permits(state, request.target) != state.self.host) {
        return {request.number, false, other_issuer_pause};
    }
    auto share = share_of_region(state, request.target, request.limit);
    if (share.rate == 0) {
        return {request.number, false, no_share_pause};
    }
    const auto running_since = std::max(state.started, state.membership.resumed);
    if (e.now - running_since < issuer_settling_time) {
        share = {share.rate * settling_rate, 1};
    }
    auto& bucket = state.limits[request.target];
    if (bucket.life < request.life) {
        bucket = {request.life, 0, e.now};
    }
    const std::chrono::duration<double> passed = e.now - bucket.refilled;
    bucket.permits = std::min(bucket.permits + passed.count() * share.rate, share.burst);
    bucket.refilled = e.now;
    if (bucket.permits < 1) {
        return {request.number, false, time_to_permit(1 - bucket.permits, share.rate)};
    }
    bucket.permits -= 1;
    return {request.number, true, milliseconds{0}};
}

} // namespace

limit_share share_of_region(const control_state& state, const target_id& target, double limit)
{
    const auto rate = std::max(limit, lowest_limited_rate);
    const auto regions = regions_with_hosts(state);
    const auto most = static_cast<std::size_t>(std::floor(rate + burst_margin));
    const auto sharing = std::min(std::max<std::size_t>(1, regions.size()), most);
    const auto home = region_in(state, state.self.domain);
    const auto ahead = std::ranges::count_if(
        regions, [&](const region_id& r) { return rank_for(target, r) > rank_for(target, home); });
    if (static_cast<std::size_t>(ahead) >= sharing) {
        return {};
    }
    const auto parts = static_cast<double>(sharing);
    return {rate / parts, std::max(1.0, std::floor((rate + burst_margin) / parts))};
}

host_id issuer_of_permits(const control_state& state, const target_id& target)
{
    const auto home = region_in(state, state.self.domain);
    host_id issuer = state.self.host;
    std::uint64_t highest = 0;
    for (const auto& [id, h] : state.fleet.configuration.hosts) {
        if (region_in(state, h.domain) != home || !may_issue(state, id)) {
            continue;
        }
        if (const auto rank = rank_for(target, id); rank >= highest) {
            highest = rank;
            issuer = id;
        }
    }
    return issuer;
}

void handle_permit_wanted(control_state& state, const event& e, const permit_wanted_event& wanted,
                          effects& out)
{
    const permit_request request{wanted.request, wanted.target, wanted.life, wanted.limit};
    const auto issuer = issuer_of_permits(state, wanted.target);
    if (issuer == state.self.host) {
        const auto reply = decide_permit(state, e, request);
        out.emplace_back(permit_verdict_effect{reply.number, reply.is_granted, reply.retry_after});
        return;
    }
    auto message = make_message(state);
    message.permit_requests.push_back(request);
    out.emplace_back(
        send_gossip_effect{state.fleet.configuration.hosts.at(issuer).peers, std::move(message)});
}

void handle_permit_messages(control_state& state, const event& e, const gossip_message& message,
                            const endpoint& peer, effects& out)
{
    for (const auto& reply : message.permit_replies) {
        out.emplace_back(permit_verdict_effect{reply.number, reply.is_granted, reply.retry_after});
    }
    if (message.permit_requests.empty()) {
        return;
    }
    auto answer = make_message(state);
    for (const auto& request : message.permit_requests) {
        answer.permit_replies.push_back(decide_permit(state, e, request));
    }
    out.emplace_back(send_gossip_effect{peer, std::move(answer)});
}

void tick_limits(control_state& state, const event& e)
{
    std::erase_if(state.limits, [&](const auto& entry) {
        return e.now - entry.second.refilled > idle_bucket_retention;
    });
}

} // namespace almondquay
