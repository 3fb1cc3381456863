#pragma once

#include "config/fleet.h"
#include "config/fleet_envelope.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Which entry hosts a caller is told to use.
namespace almondquay {

/// What the plan knows of the world besides the text.
struct world_view {
    std::set<host_id> live_hosts; ///< alive and not leaving
    std::vector<drain_mark> drains;
    std::set<target_id> dead_targets; ///< known not to serve
};

struct host_choice {
    const host* entry = nullptr;
    std::uint32_t weight = 0; ///< share of new requests; 0 is for use only when all others fail
};

/// Whether a drain covers the target, directly or by its failure domain or region.
bool is_drained(const fleet& f, const std::vector<drain_mark>& drains, const target& t);

/// Whether a drain covers the host, directly or by its failure domain or region.
bool is_drained(const fleet& f, const std::vector<drain_mark>& drains, const host& h);

/// What can serve where, summed up once for all answers.
struct place_index {
    std::map<std::pair<failure_domain_id, service_id>, std::uint32_t> slots;
    std::map<failure_domain_id, std::vector<const host*>> hosts; ///< live and not drained
    std::set<std::pair<region_id, region_id>> linked;            ///< both ways, and each to itself
};

/// Refers to the hosts of `f`, which must outlive it.
place_index make_place_index(const fleet& f, const world_view& world);

/// The slots that serve `id` in `domain`; 0 if something it depends on cannot be reached from
/// there. A dependency is reached in the same region or over a link from it.
std::uint32_t usable_slots(const fleet& f, const place_index& places,
                           const failure_domain_id& domain, const service_id& id);

/// Hosts for callers near `near_region`: first those of the nearest region that can serve, with
/// weights by the slots behind them, then those of other regions with weight 0.
std::vector<host_choice> choose_hosts(const fleet& f, const place_index& places,
                                      const service_id& id, const region_id& near_region);

/// The answer as JSON: service, generation, ttl_ms and hosts with address, domain and weight.
std::string lookup_answer(const fleet& f, const service_id& id, generation in_force,
                          const std::vector<host_choice>& choices);

} // namespace almondquay
