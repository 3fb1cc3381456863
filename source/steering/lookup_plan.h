#pragma once

#include "config/fleet.h"
#include "config/fleet_envelope.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Selects the entry hosts that a lookup returns to a caller.
namespace almondquay {

/// The runtime state that host selection depends on besides the configuration.
struct availability_view {
    std::set<host_id> live_hosts; ///< alive and not leaving
    std::vector<drain_mark> drains;
    std::set<target_id> dead_targets; ///< known to be down
};

struct host_choice {
    const host* entry = nullptr;
    std::uint32_t weight = 0; ///< share of new requests; 0: use only if all others fail
};

/// Whether a drain covers the target, directly or by its failure domain or region.
bool is_drained(const fleet& f, const std::vector<drain_mark>& drains, const target& t);

/// Whether a drain covers the host, directly or by its failure domain or region.
bool is_drained(const fleet& f, const std::vector<drain_mark>& drains, const host& h);

/// Available capacity and hosts by failure domain, computed once for all lookup answers.
struct capacity_index {
    std::map<std::pair<failure_domain_id, service_id>, std::uint32_t> slots;
    std::map<failure_domain_id, std::vector<const host*>> hosts; ///< live and not drained
    std::set<std::pair<region_id, region_id>> linked;            ///< symmetric and reflexive
};

/// The result points into `f`, which must outlive it.
capacity_index make_capacity_index(const fleet& f, const availability_view& availability);

/// The slots that serve `id` in `domain`; 0 if one of its dependencies cannot be reached from
/// there. A dependency is reachable if it is served in the same region or in a linked one.
std::uint32_t usable_slots(const fleet& f, const capacity_index& capacity,
                           const failure_domain_id& domain, const service_id& id);

/// The hosts for callers near `near_region`, nearest first. Those at the smallest distance that can
/// serve are weighted by the usable slots of their failure domain; all others have weight 0.
std::vector<host_choice> choose_hosts(const fleet& f, const capacity_index& capacity,
                                      const service_id& id, const region_id& near_region);

/// Encodes the lookup answer as JSON: service, generation, ttl_ms and hosts with address, domain
/// and weight.
std::string lookup_answer(const fleet& f, const service_id& id, generation in_force,
                          const std::vector<host_choice>& choices);

} // namespace almondquay
