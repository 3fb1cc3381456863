#pragma once

#include "common/authentication.h"
#include "common/endpoint.h"
#include "common/hybrid_clock.h"
#include "common/result.h"
#include "common/strong_type.h"
#include "store/inventory.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Gossip between hosts: membership, the configuration in force and recent inventory changes.
namespace almondquay {

/// The latest heartbeat of one host that the sender knows. A higher (life, beat) is newer.
struct member_heartbeat {
    host_id id;
    incarnation life;
    std::uint64_t beat = 0; ///< heartbeat counter
    bool leaving = false;
    bool dead = false;     ///< declared dead: no newer heartbeat came in time
    bool starting = false; ///< not serving yet
    bool direct = false;   ///< received by the sender from the host itself a moment ago

    bool operator==(const member_heartbeat&) const = default;
};

/// Asks for a permit to send one request to a target that has named a limit.
struct permit_request {
    std::uint64_t number = 0; ///< chosen by the asking host
    target_id target;
    incarnation life;
    double limit = 0; ///< requests per second, as the target named it last

    bool operator==(const permit_request&) const = default;
};

struct permit_reply {
    std::uint64_t number = 0;
    bool is_granted = false;
    std::chrono::milliseconds retry_after{0}; ///< if denied: when the next permit is due

    bool operator==(const permit_reply&) const = default;
};

struct gossip_message {
    host_id from;
    hybrid_time time;
    generation in_force;           ///< 0 if the sender has no configuration
    std::uint64_t fingerprint = 0; ///< of the envelope in force
    std::vector<member_heartbeat> heartbeats;
    store_era era{};                 ///< the latest era of the store that the sender knows
    inventory_revisions inventory{}; ///< revisions of the sender's copies of the store's lists
    /// Time since the sender's copy of each list was last known to be current, at most
    /// `never_confirmed`.
    inventory_ages confirmed{never_confirmed, never_confirmed, never_confirmed, never_confirmed};
    bool wants_reply = false;     ///< liveness probe: the receiver is to reply with gossip
    std::string recent_changes{}; ///< an encoded inventory_copy of the latest changes
    endpoint reply_address{};     ///< where to reply; of a received message, at least its sender
    std::vector<member_heartbeat>
        suspects{};                       ///< suspected hosts, to be refuted by newer heartbeats
    std::vector<target_id> unreachable{}; ///< targets that refused the sender's connections
    std::vector<permit_request> permit_requests{};
    std::vector<permit_reply> permit_replies{};
    inventory_digests digests{}; ///< of the sender's copies of the store's lists

    bool operator==(const gossip_message&) const = default;
};

/// Keeps datagrams below the usual path MTU less headers; the sender truncates longer lists.
constexpr std::size_t max_datagram_bytes = 1'400;
constexpr std::size_t max_heartbeats_per_message = 24;
/// Larger inventory changes are not sent by gossip; peers request them.
constexpr std::size_t max_recent_changes_bytes = 900;

/// Encodes as CBOR, preceded by a signature of all bytes that follow it.
std::string encode(const gossip_message& message, const shared_secret& secret);

/// Errors: peer_unauthenticated, peer_message_malformed.
result<gossip_message> decode_gossip(std::string_view datagram, const shared_secret& secret);

} // namespace almondquay
