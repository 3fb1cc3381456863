#pragma once

#include "config/fleet.h"
#include "steering/block_table.h"
#include "steering/route_table.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

/// The routing state for the traffic threads: an immutable snapshot that is published as a whole.
namespace almondquay {

/// A target in this host's failure domain, or an entry host of another failure domain that accepts
/// spilled requests, with this host's share of its capacity.
struct target_route {
    target_id id;
    endpoint address;
    std::uint32_t slots = 0;       ///< this host's share
    std::uint32_t connections = 0; ///< this host's share
    bool usable = false;
    bool sheds_unrun = false;     ///< status 503 means that the request was not run
    bool is_spill = false;        ///< an entry host of another failure domain
    double bytes_per_second = 0;  ///< bandwidth limit of one spilled request
    bool checks_identity = false; ///< rejects requests for another target instance
    incarnation life{};
    failure_domain_id domain{};
    region_id in_region{};
    std::chrono::steady_clock::time_point cold_until{};
    double cold_per_second = 0; ///< request rate limit of this host until `cold_until`
};

struct service_routes {
    service definition;
    std::vector<target_route> targets;
    std::map<region_id, std::string> lookup_answers; ///< JSON, by the caller's region
    bool are_targets_shared = false; ///< every host uses every target, selected by placement
};

struct routing_snapshot
    : boost::intrusive_ref_counter<routing_snapshot, boost::thread_safe_counter> {
    generation in_force; ///< of the configuration in force
    bool ready = false;
    bool leaving = false; ///< this host is leaving the fleet
    /// While leaving: when this process will be killed; zero if there is no limit.
    std::chrono::steady_clock::time_point stop_deadline{};
    region_id home; ///< region of this host
    block_table_ptr blocks;
    std::set<std::uint64_t> quarantined; ///< fingerprints of refused requests
    std::map<std::string, service_routes, std::less<>> services;
    route_table_ptr routes; ///< nullptr if the configuration lists none
    caller_limits limits;
    std::map<region_id, std::vector<endpoint>> entry_hosts; ///< by the callers' region
    std::map<failure_domain_id, region_id> regions;
    std::size_t hosts = 1; ///< number of hosts that share the fleet-wide budgets
};

using snapshot_ptr = boost::intrusive_ptr<const routing_snapshot>;

/// A target of a service, or nullptr if the snapshot does not list it.
const target_route* find_target(const routing_snapshot& snapshot, std::string_view service,
                                const target_id& id);

/// Whether new requests may be sent to a target.
bool is_usable(const routing_snapshot& snapshot, std::string_view service, const target_id& id);

/// The lookup answer for a service and a caller's address, or nullptr if the service is unknown.
/// Callers outside all configured blocks get the answer for this host's region.
const std::string* find_lookup_answer(const routing_snapshot& snapshot, std::string_view service,
                                      std::string_view caller_address);

} // namespace almondquay
