#include "control/store_followers.h"

#include "control/membership.h"

#include <algorithm>

#include <xxhash.h>

namespace almondquay {

namespace {

std::uint64_t hash_of(const host_id& id)
{
    return XXH3_64bits(id.value.data(), id.value.size());
}

bool is_candidate(const control_state& state, const host_id& id, monotonic_time now)
{
    if (id == state.self.host) {
        return state.stage == life_stage::starting || state.stage == life_stage::serving;
    }
    const auto found = state.membership.members.find(id);
    if (found == state.membership.members.end()) {
        // The first heartbeat of a far host may take as long as its timeout.
        return now - state.started < far_timeout(state.inventory.hosts.size());
    }
    return found->second.alive && !found->second.leaving;
}

struct candidate {
    const host* listed_host = nullptr;
    std::uint64_t hash = 0;
    std::size_t place_in_domain = 0; ///< 0 for the first of its failure domain
};

region_id region_in(const control_state& state, const failure_domain_id& domain)
{
    const auto found = state.self.domains.find(domain);
    return found == state.self.domains.end() ? region_id{} : found->second;
}

/// The live hosts of a region by rank, the first of every failure domain before any second one.
std::vector<candidate> ranked(const control_state& state, const region_id& region,
                              monotonic_time now)
{
    std::vector<candidate> all;
    for (const auto& [id, h] : state.inventory.hosts) {
        if (region_in(state, h.domain) == region && is_candidate(state, id, now)) {
            all.push_back({&h, hash_of(id), 0});
        }
    }
    std::ranges::sort(all, [](const candidate& a, const candidate& b) {
        return a.listed_host->weight != b.listed_host->weight
                   ? a.listed_host->weight > b.listed_host->weight
                   : a.hash < b.hash;
    });
    std::map<failure_domain_id, std::size_t> seen;
    for (auto& c : all) {
        c.place_in_domain = seen[c.listed_host->domain]++;
    }
    std::ranges::stable_sort(all, {}, &candidate::place_in_domain);
    return all;
}

std::vector<candidate> ranked_at_home(const control_state& state, monotonic_time now)
{
    return ranked(state, region_in(state, state.self.domain), now);
}

std::set<region_id> other_regions(const control_state& state)
{
    std::set<region_id> regions;
    for (const auto& [domain, region] : state.self.domains) {
        regions.insert(region);
    }
    regions.erase(region_in(state, state.self.domain));
    return regions;
}

/// How old a confirmation may become before the first standby queries the store itself.
std::chrono::milliseconds takeover_age(const control_state& state, inventory_kind kind)
{
    if (!list_of(state.inventory, kind).is_complete) {
        return state.self.max_propagation_delay - takeover_margin; // The host cannot serve yet.
    }
    switch (kind) {
    case inventory_kind::configuration:
    case inventory_kind::targets:
        return state.self.max_propagation_delay - takeover_margin;
    case inventory_kind::evacuations:
        return evacuation_takeover_age;
    case inventory_kind::hosts:
        break;
    }
    return host_takeover_age;
}

bool is_seed(const control_state& state)
{
    return state.self.seeds.empty() ||
           std::ranges::find(state.self.seeds, state.self.registration.peers) !=
               state.self.seeds.end();
}

} // namespace

std::size_t rank_in_region(const control_state& state, monotonic_time now)
{
    const auto all = ranked_at_home(state, now);
    const auto self = std::ranges::find_if(
        all, [&](const candidate& c) { return c.listed_host->id == state.self.host; });
    return static_cast<std::size_t>(self - all.begin());
}

bool follows_store(const control_state& state, monotonic_time now)
{
    return rank_in_region(state, now) < followers_per_region;
}

std::vector<const host*> all_followers(const control_state& state, monotonic_time now)
{
    auto regions = other_regions(state);
    regions.insert(region_in(state, state.self.domain));
    std::vector<const host*> followers;
    for (const auto& region : regions) {
        const auto all = ranked(state, region, now);
        for (std::size_t i = 0; i < std::min(all.size(), followers_per_region); ++i) {
            followers.push_back(all[i].listed_host);
        }
    }
    return followers;
}

bool may_query_store(const control_state& state, inventory_kind kind, monotonic_time now)
{
    if (!list_of(state.inventory, inventory_kind::hosts).is_complete) {
        const bool is_alone = now - state.started >= store_query_delay;
        return is_seed(state) || (kind == inventory_kind::hosts && is_alone);
    }
    const auto rank = state.inventory.own_rank;
    if (rank < followers_per_region) {
        return true;
    }
    const auto confirmed = std::max(list_of(state.inventory, kind).confirmed, state.started);
    const auto takeover_delay = takeover_step * static_cast<int>(rank - followers_per_region);
    return now - confirmed >= takeover_age(state, kind) + takeover_delay;
}

std::vector<const host*> standby_followers(const control_state& state, monotonic_time now)
{
    std::vector<const host*> next;
    const auto all = ranked_at_home(state, now);
    const auto end = std::min(all.size(), followers_per_region + standbys_per_region);
    for (auto i = followers_per_region; i < end; ++i) {
        next.push_back(all[i].listed_host);
    }
    std::vector<std::vector<candidate>> others;
    for (const auto& region : other_regions(state)) {
        others.push_back(ranked(state, region, now));
    }
    for (std::size_t i = followers_per_region; next.size() < max_standbys_notified; ++i) {
        const auto before = next.size();
        for (const auto& hosts : others) {
            if (i < hosts.size() && next.size() < max_standbys_notified) {
                next.push_back(hosts[i].listed_host);
            }
        }
        if (next.size() == before) {
            break;
        }
    }
    return next;
}

follower_position position_among_followers(const control_state& state)
{
    auto regions = other_regions(state);
    const auto home = region_in(state, state.self.domain);
    regions.insert(home);
    const auto rank = std::min(state.inventory.own_rank, followers_per_region - 1);
    const auto index = static_cast<std::size_t>(std::distance(regions.begin(), regions.find(home)));
    return {rank * regions.size() + index, followers_per_region * regions.size()};
}

} // namespace almondquay
