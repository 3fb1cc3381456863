#include "steering/lookup_plan.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

constexpr std::size_t max_hosts_in_answer = 12;

bool is_domain_drained(const fleet& f, const std::vector<drain_mark>& drains,
                       const failure_domain_id& domain)
{
    return has_drain(drains, drain_kind::failure_domain, domain.value) ||
           has_drain(drains, drain_kind::region, region_of(f, domain).value);
}

std::uint32_t slots_in(const capacity_index& capacity, const failure_domain_id& domain,
                       const service_id& id)
{
    const auto found = capacity.slots.find({domain, id});
    return found == capacity.slots.end() ? 0 : found->second;
}

bool is_reachable_from(const fleet& f, const capacity_index& capacity, const region_id& from,
                       const service_id& id)
{
    return std::ranges::any_of(f.domains, [&](const auto& entry) {
        return capacity.linked.contains({from, entry.second.in_region}) &&
               usable_slots(f, capacity, entry.first, id) > 0;
    });
}

/// Returns 0 for the same region, 1 for a linked one, 2 for all others.
int distance(const capacity_index& capacity, const region_id& from, const region_id& to)
{
    if (from == to) {
        return 0;
    }
    return capacity.linked.contains({from, to}) ? 1 : 2;
}

struct candidate {
    const host* entry = nullptr;
    int distance = 0;
    std::uint32_t weight = 0;
};

void add_candidates(const fleet& f, const capacity_index& capacity, const failure_domain& domain,
                    const service_id& id, const region_id& near_region, std::vector<candidate>& all)
{
    const auto slots = usable_slots(f, capacity, domain.id, id);
    const auto hosts = capacity.hosts.find(domain.id);
    if (slots == 0 || hosts == capacity.hosts.end()) {
        return;
    }
    const auto count = static_cast<std::uint32_t>(hosts->second.size());
    const auto weight = std::max<std::uint32_t>(1, slots / count);
    for (const auto* h : hosts->second) {
        all.push_back({h, distance(capacity, near_region, domain.in_region), weight});
    }
}

} // namespace

bool is_drained(const fleet& f, const std::vector<drain_mark>& drains, const target& t)
{
    return has_drain(drains, drain_kind::target, t.id.value) ||
           is_domain_drained(f, drains, t.domain);
}

bool is_drained(const fleet& f, const std::vector<drain_mark>& drains, const host& h)
{
    return has_drain(drains, drain_kind::host, h.id.value) ||
           is_domain_drained(f, drains, h.domain);
}

capacity_index make_capacity_index(const fleet& f, const availability_view& availability)
{
    capacity_index capacity;
    for (const auto& [id, t] : f.targets) {
        if (!availability.dead_targets.contains(id) && !is_drained(f, availability.drains, t)) {
            capacity.slots[{t.domain, t.serves}] += t.slots.value;
        }
    }
    for (const auto& [id, h] : f.hosts) {
        if (availability.live_hosts.contains(id) && !is_drained(f, availability.drains, h)) {
            capacity.hosts[h.domain].push_back(&h);
        }
    }
    for (const auto& [id, r] : f.regions) {
        capacity.linked.emplace(id, id);
    }
    for (const auto& l : f.links) {
        capacity.linked.emplace(l.first, l.second);
        capacity.linked.emplace(l.second, l.first);
    }
    return capacity;
}

std::uint32_t usable_slots(const fleet& f, const capacity_index& capacity,
                           const failure_domain_id& domain, const service_id& id)
{
    const auto found = f.services.find(id);
    if (found == f.services.end()) {
        return 0;
    }
    const auto from = region_of(f, domain);
    const bool dependencies_met =
        std::ranges::all_of(found->second.depends_on, [&](const service_id& needed) {
            return is_reachable_from(f, capacity, from, needed);
        });
    return dependencies_met ? slots_in(capacity, domain, id) : 0;
}

std::vector<host_choice> choose_hosts(const fleet& f, const capacity_index& capacity,
                                      const service_id& id, const region_id& near_region)
{
    std::vector<candidate> all;
    for (const auto& [unused, domain] : f.domains) {
        add_candidates(f, capacity, domain, id, near_region, all);
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
