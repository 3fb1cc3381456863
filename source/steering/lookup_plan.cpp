#include "steering/lookup_plan.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

constexpr std::size_t max_hosts_in_answer = 12;

bool is_domain_drained(const fleet& f, const std::vector<drain_mark>& drains,
                       const failure_domain_id& domain)
{
    return is_marked(drains, drain_kind::failure_domain, domain.value) ||
           is_marked(drains, drain_kind::region, region_of(f, domain).value);
}

bool has_link(const fleet& f, const region_id& a, const region_id& b)
{
    return std::ranges::any_of(f.links, [&](const link& l) {
        return (l.first == a && l.second == b) || (l.first == b && l.second == a);
    });
}

std::uint32_t own_slots(const fleet& f, const world_view& world, const failure_domain_id& domain,
                        const service_id& id)
{
    std::uint32_t slots = 0;
    for (const auto& [name, t] : f.targets) {
        const bool counts = t.serves == id && t.domain == domain &&
                            !world.dead_targets.contains(name) && !is_drained(f, world.drains, t);
        slots += counts ? t.slots.value : 0;
    }
    return slots;
}

bool is_reachable_from(const fleet& f, const world_view& world, const region_id& from,
                       const service_id& id)
{
    return std::ranges::any_of(f.domains, [&](const auto& entry) {
        const auto& in_region = entry.second.in_region;
        const bool is_near = in_region == from || has_link(f, in_region, from);
        return is_near && usable_slots(f, world, entry.first, id) > 0;
    });
}

/// 0 for the same region, 1 for a linked one, 2 for all others.
int distance(const fleet& f, const region_id& from, const region_id& to)
{
    if (from == to) {
        return 0;
    }
    return has_link(f, from, to) ? 1 : 2;
}

struct candidate {
    const host* entry = nullptr;
    int distance = 0;
    std::uint32_t weight = 0;
};

std::vector<candidate> candidates_in(const fleet& f, const world_view& world,
                                     const failure_domain_id& domain, const service_id& id,
                                     const region_id& near_region)
{
    std::vector<candidate> found;
    const auto slots = usable_slots(f, world, domain, id);
    if (slots == 0) {
        return found;
    }
    for (const auto* h : hosts_of(f, domain)) {
        if (world.live_hosts.contains(h->id) && !is_drained(f, world.drains, *h)) {
            found.push_back({h, distance(f, near_region, region_of(f, domain)), 0});
        }
    }
    for (auto& c : found) {
        c.weight = std::max<std::uint32_t>(1, slots / static_cast<std::uint32_t>(found.size()));
    }
    return found;
}

} // namespace

bool is_drained(const fleet& f, const std::vector<drain_mark>& drains, const target& t)
{
    return is_marked(drains, drain_kind::target, t.id.value) ||
           is_domain_drained(f, drains, t.domain);
}

bool is_drained(const fleet& f, const std::vector<drain_mark>& drains, const host& h)
{
    return is_marked(drains, drain_kind::host, h.id.value) ||
           is_domain_drained(f, drains, h.domain);
}

std::uint32_t usable_slots(const fleet& f, const world_view& world, const failure_domain_id& domain,
                           const service_id& id)
{
    const auto found = f.services.find(id);
    if (found == f.services.end()) {
        return 0;
    }
    const auto from = region_of(f, domain);
    const bool dependencies_met =
        std::ranges::all_of(found->second.depends_on, [&](const service_id& needed) {
            return is_reachable_from(f, world, from, needed);
        });
    return dependencies_met ? own_slots(f, world, domain, id) : 0;
}

std::vector<host_choice> choose_hosts(const fleet& f, const world_view& world, const service_id& id,
                                      const region_id& near_region)
{
    std::vector<candidate> all;
    for (const auto& [domain, unused] : f.domains) {
        std::ranges::copy(candidates_in(f, world, domain, id, near_region),
                          std::back_inserter(all));
    }
    std::ranges::stable_sort(all, {}, &candidate::distance);
    std::vector<host_choice> choices;
    for (const auto& c : all) {
        const bool is_nearest = c.distance == all.front().distance;
        choices.push_back({c.entry, is_nearest ? c.weight : 0});
    }
    choices.resize(std::min(choices.size(), max_hosts_in_answer));
    return choices;
}

std::string lookup_answer(const fleet& f, const service_id& id, generation in_force,
                          const std::vector<host_choice>& choices)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const auto& choice : choices) {
        hosts.push_back({{"address", to_string(choice.entry->callers)},
                         {"domain", choice.entry->domain.value},
                         {"weight", choice.weight}});
    }
    return nlohmann::json{{"service", id.value},
                          {"generation", in_force.value},
                          {"ttl_ms", f.settings.lookup_ttl.count()},
                          {"hosts", std::move(hosts)}}
        .dump();
}

} // namespace almondquay
