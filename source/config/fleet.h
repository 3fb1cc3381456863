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
    endpoint callers;  ///< where callers look up and send requests
    endpoint peers;    ///< where other hosts and operators reach it
    double weight = 1; ///< its part of work that is dealt among hosts

    bool operator==(const host&) const = default;
};

/// Paths of a service that may or must not be repeated, against the safe default.
struct route {
    std::string path_prefix;
    bool repeatable = false;
};

/// A service's part of a route's requests.
struct route_part {
    service_id to;
    double weight = 1;
};

/// Decides by the Host header and the path where a request goes and what it may cost. Where a
/// fleet has no rules, the first label of the Host header names the service.
struct route_rule {
    route_id id;
    std::string host;
    std::string path_prefix; ///< begins and ends with '/'; the longest match decides
    std::vector<route_part> parts;
    bool repeatable = false;
    bool by_object = false; ///< targets answer faster for an object that they handled lately
    std::chrono::milliseconds timeout{10'000};  ///< a caller has a final answer by then
    std::chrono::milliseconds objective{1'000}; ///< an answer within this time is a good one
    std::uint32_t max_attempts = 3;             ///< targets that one request may be sent to
    std::uint32_t rank = 1;                     ///< the lowest number is refused last
    std::vector<region_id> homes;               ///< the only regions that may serve it; empty: all
};

/// What a caller may send, and how long it may take.
struct caller_limits {
    std::uint32_t header_bytes = 16U * 1024;
    std::uint64_t body_bytes = 1ULL << 40U;
    std::chrono::milliseconds header_time{10'000};
    std::chrono::milliseconds idle_time{60'000};
};

struct service {
    service_id id;
    std::vector<service_id> depends_on;
    std::vector<route> routes; ///< the longest matching prefix decides
    std::chrono::milliseconds deadline{10'000};
    std::uint32_t rank = 1; ///< a higher rank is refused later when capacity is short
    std::string health_path = "/healthz";
    std::uint32_t connections = 400; ///< that each of its targets takes from all hosts together
    std::chrono::milliseconds cold_time{0}; ///< a target is cold for this long after its start
    double cold_requests_per_second = 0;    ///< what a cold target stands; 0: no limit
};

struct target {
    target_id id;
    service_id serves;
    failure_domain_id domain;
    endpoint address;
    slot_count slots{3};
    std::uint32_t connections = 400;
    bool sheds_unrun = false; ///< the operator declares that a 503 of this target means "not run"
    bool checks_identity = false; ///< refuses requests that name another target than itself
    incarnation life;             ///< of a target that registers itself; 0 if the text lists it
    bool leaving = false;         ///< gets no new work

    bool operator==(const target&) const = default;
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
    std::vector<route_rule> routes;
    caller_limits limits;
};

/// The region of a failure domain; an empty id if the domain is unknown.
region_id region_of(const fleet& f, const failure_domain_id& domain);

/// Whether a request may be sent to a second target after the first may have run it. Without a
/// route that says otherwise only methods that HTTP calls safe are repeatable.
bool is_repeatable(const service& s, std::string_view method, std::string_view path);

/// The hosts of a failure domain in the order of their ids.
std::vector<const host*> hosts_of(const fleet& f, const failure_domain_id& domain);

} // namespace almondquay
