#include "peer/inventory_copy.h"

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

json encode_target(const registered_target& t)
{
    return json::array({t.what.id.value, t.what.serves.value, t.what.domain.value,
                        t.what.address.address, t.what.address.port, t.what.slots.value,
                        t.what.checks_identity, t.what.life.value, t.what.leaving,
                        t.cold_left.count()});
}

registered_target decode_target(const json& row)
{
    registered_target t;
    t.what.id.value = row.at(0).get<std::string>();
    t.what.serves.value = row.at(1).get<std::string>();
    t.what.domain.value = row.at(2).get<std::string>();
    t.what.address.address = row.at(3).get<std::string>();
    t.what.address.port = row.at(4).get<std::uint16_t>();
    t.what.slots.value = row.at(5).get<std::uint32_t>();
    t.what.checks_identity = row.at(6).get<bool>();
    t.what.life.value = row.at(7).get<std::uint64_t>();
    t.what.leaving = row.at(8).get<bool>();
    t.cold_left = std::chrono::milliseconds(row.at(9).get<std::int64_t>());
    return t;
}

json encode_host(const host& h)
{
    return json::array({h.id.value, h.domain.value, h.callers.address, h.callers.port,
                        h.peers.address, h.peers.port});
}

host decode_host(const json& row)
{
    return {host_id(row.at(0).get<std::string>()),
            failure_domain_id(row.at(1).get<std::string>()),
            {row.at(2).get<std::string>(), row.at(3).get<std::uint16_t>()},
            {row.at(4).get<std::string>(), row.at(5).get<std::uint16_t>()}};
}

} // namespace

std::string encode(const inventory_copy& copy)
{
    json at = json::array();
    for (const auto& revision : copy.at) {
        at.push_back(revision.value);
    }
    json targets = json::array();
    for (const auto& t : copy.targets) {
        targets.push_back(encode_target(t));
    }
    json hosts = json::array();
    for (const auto& h : copy.hosts) {
        hosts.push_back(encode_host(h));
    }
    json evacuated = json::array();
    for (const auto& domain : copy.evacuated) {
        evacuated.push_back(domain.value);
    }
    return json{{"at", at}, {"targets", targets}, {"hosts", hosts}, {"evacuated", evacuated}}
        .dump();
}

result<inventory_copy> decode_inventory_copy(std::string_view text)
{
    try {
        const auto whole = json::parse(text);
        inventory_copy copy;
        for (std::size_t i = 0; i < inventory_kinds; ++i) {
            copy.at.at(i).value = whole.at("at").at(i).get<std::uint64_t>();
        }
        for (const auto& row : whole.at("targets")) {
            copy.targets.push_back(decode_target(row));
        }
        for (const auto& row : whole.at("hosts")) {
            copy.hosts.push_back(decode_host(row));
        }
        for (const auto& domain : whole.at("evacuated")) {
            copy.evacuated.emplace_back(domain.get<std::string>());
        }
        return copy;
    } catch (const json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

} // namespace almondquay
