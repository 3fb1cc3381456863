#include "peer/gossip_message.h"

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

constexpr std::size_t signature_length = 32;

} // namespace

std::string encode(const gossip_message& message, const shared_secret& secret)
{
    json beats = json::array();
    for (const auto& b : message.beats) {
        beats.push_back(json::array({b.id.value, b.life.value, b.beat, b.leaving, b.dead}));
    }
    json inventory = json::array();
    for (const auto& revision : message.inventory) {
        inventory.push_back(revision.value);
    }
    const json whole = json::array({message.from.value, message.time.wall_ms, message.time.counter,
                                    message.in_force.value, message.fingerprint, std::move(beats),
                                    std::move(inventory)});
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
    if (!is_signed(secret, body, datagram.substr(0, signature_length))) {
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
        for (const auto& value : whole.at(5)) {
            member_beat beat;
            beat.id.value = value.at(0).get<std::string>();
            beat.life.value = value.at(1).get<std::uint64_t>();
            beat.beat = value.at(2).get<std::uint64_t>();
            beat.leaving = value.at(3).get<bool>();
            beat.dead = value.at(4).get<bool>();
            message.beats.push_back(std::move(beat));
        }
        for (std::size_t i = 0; i < inventory_kinds; ++i) {
            message.inventory.at(i).value = whole.at(6).at(i).get<std::uint64_t>();
        }
        return message;
    } catch (const json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

} // namespace almondquay
