#pragma once

#include "common/endpoint.h"
#include "common/strong_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The operators' text as typed values: what runs where, what it depends on and its limits.
namespace almondquay {

struct region {
    region_id id;
};

struct failure_domain {
    failure_domain_id id;
    region_id in_region;
};

/// The capacity each way between two regions.
struct link {
    region_id first;
    region_id second;
    megabits_per_second limit;
};

/// One entry host.
struct host {
    host_id id;
    failure_domain_id domain;
    endpoint callers; ///< where callers look up and send requests
    endpoint peers;   ///< where other hosts and operators reach it
};

/// Paths of a service that may or must not be repeated, against the safe default.
struct route {
    std::string path_prefix;
    bool repeatable = false;
};

struct service {
    service_id id;
    std::vector<service_id> depends_on;
    std::vector<route> routes; ///< the longest matching prefix decides
    std::chrono::milliseconds deadline{10'000};
    std::uint32_t rank = 1; ///< a higher rank is refused later when capacity is short
};

struct target {
    target_id id;
    service_id serves;
    failure_domain_id domain;
    endpoint address;
    slot_count slots{3};
    std::uint32_t connections = 400;
    bool sheds_unrun = false; ///< the operator declares that a 503 of this target means "not run"
};

/// How much of a service's work one failure domain may send to another without asking.
struct grant {
    failure_domain_id from;
    failure_domain_id to;
    service_id of_service;
    std::uint32_t in_flight = 0;
    megabits_per_second rate;
};

/// A block of callers' addresses and the region it is near to.
struct caller_block {
    std::string cidr;
    region_id near_region;
};

struct fleet_settings {
    std::string name;
    std::chrono::milliseconds lookup_ttl{2'000}; ///< how long callers may keep a look-up answer
    percent shift_cap{20.0};                     ///< of a service's traffic in one step
};

/// A whole text. Plain data; free functions below answer questions about it.
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
};

/// The region of a failure domain; an empty id if the domain is unknown.
region_id region_of(const fleet& f, const failure_domain_id& domain);

/// Whether a request may be sent to a second target after the first may have run it. Without a
/// route that says otherwise only methods that HTTP calls safe are repeatable.
bool is_repeatable(const service& s, std::string_view method, std::string_view path);

/// The hosts of a failure domain in the order of their ids.
std::vector<const host*> hosts_of(const fleet& f, const failure_domain_id& domain);

} // namespace almondquay
