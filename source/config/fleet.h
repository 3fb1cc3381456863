#pragma once

#include "common/endpoint.h"
#include "common/strong_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The parsed fleet configuration: hosts, services, targets, dependencies and limits.
namespace almondquay {

struct region {
    region_id id;
};

struct failure_domain {
    failure_domain_id id;
    region_id in_region;
};

/// A network link between two regions; `limit` applies to each direction separately.
struct link {
    region_id first;
    region_id second;
    megabits_per_second limit;
};

/// A host that accepts requests from callers and forwards them to targets.
struct host {
    host_id id;
    failure_domain_id domain;
    endpoint callers;  ///< listener for callers: look-ups and requests
    endpoint peers;    ///< listener for other hosts and for operators
    double weight = 1; ///< relative share of work that is divided among hosts

    bool operator==(const host&) const = default;
};

/// Overrides, for the paths of a service under a prefix, whether requests may be retried.
struct route {
    std::string path_prefix;
    bool repeatable = false;
};

/// One weighted destination of a route.
struct route_part {
    service_id to;
    double weight = 1;
};

/// Selects the destination services, time-out and retry limits of a request by its Host header and
/// path. Only the configurations of some deployments list such rules; see `wire_profile`.
struct route_rule {
    route_id id;
    std::string host;
    std::string path_prefix; ///< begins and ends with '/'; the longest match wins
    std::vector<route_part> parts;
    bool repeatable = false;
    bool by_object = false; ///< targets respond faster for an object that they served recently
    std::chrono::milliseconds timeout{10'000};  ///< deadline for the final response to the caller
    std::chrono::milliseconds objective{1'000}; ///< latency objective of a response
    std::uint32_t max_attempts = 3;             ///< maximum number of targets tried for one request
    std::uint32_t rank = 1;                     ///< priority under overload; 1 is refused last
    std::vector<region_id> homes;               ///< regions that may serve it; empty: all
};

/// Size and time limits for requests from callers.
struct caller_limits {
    std::uint32_t header_bytes = 16U * 1024;
    std::uint64_t body_bytes = 1ULL << 40U;
    std::chrono::milliseconds header_time{10'000};
    std::chrono::milliseconds idle_time{60'000};
};

struct service {
    service_id id;
    std::vector<service_id> depends_on;
    std::vector<route> routes; ///< the longest matching prefix wins
    std::chrono::milliseconds deadline{10'000};
    std::uint32_t rank = 1; ///< priority under overload; a higher rank is refused later
    std::string health_path = "/healthz";
    std::uint32_t connections = 400;        ///< connection limit of each target, over all hosts
    std::chrono::milliseconds cold_time{0}; ///< warm-up period after a target starts
    double cold_requests_per_second = 0;    ///< request rate limit during warm-up; 0: none
};

struct target {
    target_id id;
    service_id serves;
    failure_domain_id domain;
    endpoint address;
    slot_count slots{3};
    std::uint32_t connections = 400;
    bool sheds_unrun = false;     ///< declared by the operator: a 503 means the request was not run
    bool checks_identity = false; ///< refuses requests that name a different target
    incarnation life;             ///< of a target that registers itself; 0 if statically configured
    bool leaving = false;         ///< draining; receives no new requests

    bool operator==(const target&) const = default;
};

/// How much of a service's traffic one failure domain may send to another without prior
/// coordination.
struct grant {
    failure_domain_id from;
    failure_domain_id to;
    service_id of_service;
    std::uint32_t in_flight = 0;
    megabits_per_second rate;
};

/// A CIDR block of caller addresses and the region nearest to it.
struct caller_block {
    std::string cidr;
    region_id near_region;
};

struct fleet_settings {
    std::string name;
    std::chrono::milliseconds lookup_ttl{2'000}; ///< how long callers may cache a look-up response
    percent shift_cap{20.0}; ///< maximum share of a service's traffic moved in one step
};

/// A complete fleet configuration. Plain data; queries are the free functions below.
struct fleet {
    fleet_settings settings;
    std::map<region_id, region> regions;
    std::map<failure_domain_id, failure_domain> domains;
    std::map<host_id, host> hosts;
    std::map<service_id, service> services;
    std::map<target_id, target> targets;
    std::vector<link> links;
    std::vector<grant> grants;
    std::vector<caller_block> caller_blocks;
    std::vector<route_rule> routes;
    caller_limits limits;
};

/// The region of a failure domain; an empty id if the domain is unknown.
region_id region_of(const fleet& f, const failure_domain_id& domain);

/// Whether a request may be retried on another target after the first may have run it. Unless a
/// route of the service says otherwise, only the safe methods of HTTP are.
bool is_repeatable(const service& s, std::string_view method, std::string_view path);

/// The hosts of a failure domain, ordered by id.
std::vector<const host*> hosts_of(const fleet& f, const failure_domain_id& domain);

} // namespace almondquay
