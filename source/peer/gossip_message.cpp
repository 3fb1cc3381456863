#include "peer/gossip_message.h"

#include "peer/endpoint_codec.h"
#include "peer/era_codec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

constexpr std::size_t signature_length = 32;

constexpr unsigned leaving_flag = 1;
constexpr unsigned dead_flag = 2;
constexpr unsigned starting_flag = 4;
constexpr unsigned direct_flag = 8;

unsigned flags_of(const member_heartbeat& b)
{
    return (b.leaving ? leaving_flag : 0) | (b.dead ? dead_flag : 0) |
           (b.starting ? starting_flag : 0) | (b.direct ? direct_flag : 0);
}

json encode_heartbeats(const std::vector<member_heartbeat>& heartbeats)
{
    json rows = json::array();
    for (const auto& b : heartbeats) {
        rows.push_back(json::array({b.id.value, b.life.value, b.beat, flags_of(b)}));
    }
    return rows;
}

std::vector<member_heartbeat> decode_heartbeats(const json& rows)
{
    std::vector<member_heartbeat> heartbeats;
    for (const auto& value : rows) {
        member_heartbeat beat;
        beat.id.value = value.at(0).get<std::string>();
        beat.life.value = value.at(1).get<std::uint64_t>();
        beat.beat = value.at(2).get<std::uint64_t>();
        const auto flags = value.at(3).get<unsigned>();
        beat.leaving = (flags & leaving_flag) != 0;
        beat.dead = (flags & dead_flag) != 0;
        beat.starting = (flags & starting_flag) != 0;
        beat.direct = (flags & direct_flag) != 0;
        heartbeats.push_back(std::move(beat));
    }
    return heartbeats;
}

json encode_requests(const std::vector<permit_request>& requests)
{
    json rows = json::array();
    for (const auto& r : requests) {
        rows.push_back(json::array({r.number, r.target.value, r.life.value, r.limit}));
    }
    return rows;
}

std::vector<permit_request> decode_requests(const json& rows)
{
    std::vector<permit_request> requests;
    for (const auto& row : rows) {
        permit_request r;
        r.number = row.at(0).get<std::uint64_t>();
        r.target.value = row.at(1).get<std::string>();
        r.life.value = row.at(2).get<std::uint64_t>();
        r.limit = row.at(3).get<double>();
        requests.push_back(std::move(r));
    }
    return requests;
}

json encode_replies(const std::vector<permit_reply>& replies)
{
    json rows = json::array();
    for (const auto& r : replies) {
        rows.push_back(json::array({r.number, r.is_granted, r.retry_after.count()}));
    }
    return rows;
}

std::vector<permit_reply> decode_replies(const json& rows)
{
    std::vector<permit_reply> replies;
    for (const auto& row : rows) {
        replies.push_back({row.at(0).get<std::uint64_t>(), row.at(1).get<bool>(),
                           std::chrono::milliseconds(row.at(2).get<std::int64_t>())});
    }
    return replies;
}

} // namespace

std::string encode(const gossip_message& message, const shared_secret& secret)
{
    json inventory = json::array();
    for (const auto& revision : message.inventory) {
        inventory.push_back(revision.value);
    }
    json confirmed = json::array();
    for (const auto& age : message.confirmed) {
        confirmed.push_back(age.count());
    }
    json unreachable = json::array();
    for (const auto& id : message.unreachable) {
        unreachable.push_back(id.value);
    }
    json digests = json::array();
    for (const auto& digest : message.digests) {
        digests.push_back(digest.value);
    }
    const json whole = json::array(
        {message.from.value, message.time.wall_ms, message.time.counter, message.in_force.value,
         message.fingerprint, encode_heartbeats(message.heartbeats), std::move(inventory),
         std::move(confirmed), message.wants_reply, encode_heartbeats(message.suspects),
         message.reply_address.address, message.reply_address.port, message.recent_changes,
         std::move(unreachable), encode_requests(message.permit_requests),
         encode_replies(message.permit_replies), std::move(digests),
         encode_eras(message.era, message.inventory)});
    const auto bytes = json::to_cbor(whole);
    std::string body(bytes.begin(), bytes.end());
    return sign(secret, body) + body;
}

result<gossip_message> decode_gossip(std::string_view datagram, const shared_secret& secret)
{
    if (datagram.size() < signature_length) {
        return error{result_code::peer_unauthenticated, "datagram too short"};
    }
    const auto body = datagram.substr(signature_length);
    if (!verify_signature(secret, body, datagram.substr(0, signature_length))) {
        return error{result_code::peer_unauthenticated, "wrong signature"};
    }
    try {
        const auto whole = json::from_cbor(body.begin(), body.end());
        gossip_message message;
        message.from.value = whole.at(0).get<std::string>();
        message.time.wall_ms = whole.at(1).get<std::uint64_t>();
        message.time.counter = whole.at(2).get<std::uint32_t>();
        message.in_force.value = whole.at(3).get<std::uint64_t>();
        message.fingerprint = whole.at(4).get<std::uint64_t>();
        message.heartbeats = decode_heartbeats(whole.at(5));
        message.wants_reply = whole.at(8).get<bool>();
        message.suspects = decode_heartbeats(whole.at(9));
        if (whole.at(11).get<std::uint16_t>() != 0) { // Otherwise it is that of the sender.
            message.reply_address = decode_endpoint(whole.at(10), whole.at(11));
        }
        message.recent_changes = whole.at(12).get<std::string>();
        constexpr std::size_t unreachable_index = 13; // Optional: earlier versions do not send it.
        if (whole.size() > unreachable_index) {
            for (const auto& id : whole.at(unreachable_index)) {
                message.unreachable.emplace_back(id.get<std::string>());
            }
        }
        constexpr std::size_t permits_index = 14; // Likewise.
        if (whole.size() > permits_index + 1) {
            message.permit_requests = decode_requests(whole.at(permits_index));
            message.permit_replies = decode_replies(whole.at(permits_index + 1));
        }
        constexpr std::size_t digests_index = 16; // Likewise.
        for (std::size_t i = 0; i < inventory_kinds; ++i) {
            if (whole.size() > digests_index) {
                message.digests.at(i).value = whole.at(digests_index).at(i).get<std::uint64_t>();
            }
            message.inventory.at(i).value = whole.at(6).at(i).get<std::uint64_t>();
            const std::chrono::milliseconds age(whole.at(7).at(i).get<std::int64_t>());
            message.confirmed.at(i) =
                std::clamp(age, std::chrono::milliseconds{0}, never_confirmed);
        }
        constexpr std::size_t eras_index = 17; // Likewise.
        if (whole.size() > eras_index) {
            message.era = decode_eras(whole.at(eras_index), message.inventory);
        }
        return message;
    } catch (const json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

} // namespace almondquay
