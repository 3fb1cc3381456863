#pragma once

#include "common/result.h"
#include "common/strong_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The status report of a host for operators.
namespace almondquay {

struct member_status {
    std::string id;
    bool alive = false;
    bool leaving = false;
};

struct target_status {
    std::string id;
    std::string service;
    bool usable = false;
    std::string why; ///< why it is not usable
    std::uint32_t in_flight = 0;
    std::uint32_t share = 0; ///< number of slots that this host may use
};

struct quarantine_status {
    std::string fingerprint;
    std::string description;
};

struct host_status {
    std::string host;
    std::string domain;
    std::uint64_t life = 0;
    std::uint64_t in_force = 0; ///< generation
    std::uint64_t fingerprint = 0;
    std::uint64_t in_force_since_ms = 0;
    bool ready = false;
    bool leaving = false;
    bool platform_reachable = false;
    std::uint64_t decisions_dropped = 0;
    std::vector<member_status> members;
    std::vector<target_status> targets;
    std::vector<quarantine_status> quarantined;
};

std::string encode(const host_status& status);

/// Errors: peer_message_malformed.
result<host_status> decode_host_status(std::string_view text);

} // namespace almondquay
