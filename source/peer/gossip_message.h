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

/// What hosts tell each other unasked: who is alive and which configuration is in force.
namespace almondquay {

/// The latest that the sender knows of one host. A higher (life, beat) is newer.
struct member_beat {
    host_id id;
    incarnation life;
    std::uint64_t beat = 0;
    bool leaving = false;
    bool dead = false;     ///< nothing newer than this beat has come in time
    bool starting = false; ///< does not serve yet
    bool direct = false;   ///< the sender has just heard it from the host itself

    bool operator==(const member_beat&) const = default;
};

struct gossip_message {
    host_id from;
    hybrid_time time;
    generation in_force;           ///< 0 while the sender has none
    std::uint64_t fingerprint = 0; ///< of the envelope in force
    std::vector<member_beat> beats;
    inventory_revisions inventory{}; ///< up to which the sender knows the store's lists
    /// How long ago each list, as the sender has it, was confirmed; not before `never_confirmed`.
    inventory_ages confirmed{never_confirmed, never_confirmed, never_confirmed, never_confirmed};
    bool wants_answer = false;           ///< the sender wants a sign of life
    std::string news{};                  ///< an encoded inventory_copy of the latest changes
    endpoint answer_to{};                ///< of a sender that wants something of the receiver
    std::vector<member_beat> suspects{}; ///< silent hosts; who has newer beats of them is to say so
    std::vector<target_id> unreachable{}; ///< refused the sender's connections

    bool operator==(const gossip_message&) const = default;
};

/// Datagrams stay below the usual path MTU less headers; a longer list is cut by the sender.
constexpr std::size_t max_datagram_bytes = 1'400;
constexpr std::size_t max_beats_per_message = 24;
/// Longer news are asked for.
constexpr std::size_t max_news_bytes = 900;

/// Signed CBOR. The signature covers all that follows it.
std::string encode(const gossip_message& message, const shared_secret& secret);

/// Errors: peer_unauthenticated, peer_message_malformed.
result<gossip_message> decode_gossip(std::string_view datagram, const shared_secret& secret);

} // namespace almondquay
