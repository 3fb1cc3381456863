#include "peer/inventory_copy.h"

#include "peer/endpoint_codec.h"
#include "peer/era_codec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

/// String table: names that occur in many rows are written once and referred to by index.
struct name_table {
    json names = json::array();

    std::size_t index_of_name(const std::string& name)
    {
        const auto found = std::ranges::find(names, json(name));
        if (found != names.end()) {
            return static_cast<std::size_t>(found - names.begin());
        }
        names.push_back(name);
        return names.size() - 1;
    }
};

std::string name_at(const json& names, const json& place)
{
    return names.at(place.get<std::size_t>()).get<std::string>();
}

store_revision revision_in(const inventory_copy& copy, inventory_kind kind, const std::string& name)
{
    const auto& known = copy.revisions.at(static_cast<std::size_t>(kind));
    const auto found = known.find(name);
    return found == known.end() ? store_revision{} : found->second;
}

void read_revision(inventory_copy& copy, inventory_kind kind, const std::string& name,
                   const json& revision)
{
    copy.revisions.at(static_cast<std::size_t>(kind))
        .insert_or_assign(name, store_revision(revision.get<std::uint64_t>()));
}

json encode_target(const registered_target& t, store_revision revision, name_table& names)
{
    return json::array(
        {t.definition.id.value, names.index_of_name(t.definition.serves.value),
         names.index_of_name(t.definition.domain.value), t.definition.address.address,
         t.definition.address.port, t.definition.slots.value, t.definition.checks_identity,
         t.definition.life.value, t.definition.leaving, t.cold_left.count(), revision.value});
}

registered_target decode_target(const json& row, const json& names)
{
    registered_target t;
    t.definition.id.value = row.at(0).get<std::string>();
    t.definition.serves.value = name_at(names, row.at(1));
    t.definition.domain.value = name_at(names, row.at(2));
    t.definition.address = decode_endpoint(row.at(3), row.at(4));
    t.definition.slots.value = row.at(5).get<std::uint32_t>();
    t.definition.checks_identity = row.at(6).get<bool>();
    t.definition.life.value = row.at(7).get<std::uint64_t>();
    t.definition.leaving = row.at(8).get<bool>();
    t.cold_left = std::chrono::milliseconds(row.at(9).get<std::int64_t>());
    return t;
}

json encode_host(const host& h, store_revision revision, name_table& names)
{
    return json::array({h.id.value, names.index_of_name(h.domain.value), h.callers.address,
                        h.callers.port, h.peers.address, h.peers.port, h.weight, revision.value});
}

host decode_host(const json& row, const json& names)
{
    return {host_id(row.at(0).get<std::string>()), failure_domain_id(name_at(names, row.at(1))),
            decode_endpoint(row.at(2), row.at(3)), decode_endpoint(row.at(4), row.at(5)),
            row.at(6).get<double>()};
}

json to_json(const inventory_revisions& revisions)
{
    json all = json::array();
    for (const auto& revision : revisions) {
        all.push_back(revision.value);
    }
    return all;
}

inventory_revisions to_revisions(const json& all)
{
    inventory_revisions revisions{};
    for (std::size_t i = 0; i < inventory_kinds; ++i) {
        revisions.at(i).value = all.at(i).get<std::uint64_t>();
    }
    return revisions;
}

/// The changes of a list and its entries are of the era of the list.
void set_eras(const json& eras, inventory_copy& copy)
{
    decode_eras(eras, copy.at);
    for (std::size_t i = 0; i < inventory_kinds; ++i) {
        const auto era = copy.at.at(i).era;
        if (copy.since.at(i).value != 0) {
            copy.since.at(i).era = era;
        }
        for (auto& [name, revision] : copy.revisions.at(i)) {
            revision.era = era;
        }
    }
}

removed_entry decode_removed(const json& row)
{
    const auto kind = row.at(0).get<std::size_t>();
    if (kind >= inventory_kinds) {
        throw json::other_error::create(0, "unknown inventory list", nullptr);
    }
    return {static_cast<inventory_kind>(kind), row.at(1).get<std::string>(),
            std::chrono::milliseconds(row.at(2).get<std::int64_t>())};
}

inventory_copy decode_whole(const json& whole)
{
    inventory_copy copy;
    copy.at = to_revisions(whole.at("at"));
    copy.since = to_revisions(whole.at("since"));
    const auto& names = whole.at("names");
    constexpr std::size_t target_revision_index = 10; // Optional, like the other revisions.
    for (const auto& row : whole.at("targets")) {
        copy.targets.push_back(decode_target(row, names));
        if (row.size() > target_revision_index) {
            read_revision(copy, inventory_kind::targets, copy.targets.back().definition.id.value,
                          row.at(target_revision_index));
        }
    }
    constexpr std::size_t host_revision_index = 7;
    for (const auto& row : whole.at("hosts")) {
        copy.hosts.push_back(decode_host(row, names));
        if (row.size() > host_revision_index) {
            read_revision(copy, inventory_kind::hosts, copy.hosts.back().id.value,
                          row.at(host_revision_index));
        }
    }
    for (const auto& domain : whole.at("evacuated")) {
        copy.evacuated.emplace_back(domain.get<std::string>());
    }
    if (const auto found = whole.find("evacuation_revisions"); found != whole.end()) {
        for (std::size_t i = 0; i < copy.evacuated.size(); ++i) {
            read_revision(copy, inventory_kind::evacuations, copy.evacuated.at(i).value,
                          found->at(i));
        }
    }
    if (const auto found = whole.find("digests"); found != whole.end()) {
        for (std::size_t i = 0; i < inventory_kinds; ++i) {
            copy.digests.at(i).value = found->at(i).get<std::uint64_t>();
        }
    }
    if (const auto found = whole.find("eras"); found != whole.end()) {
        set_eras(*found, copy);
    }
    for (const auto& row : whole.at("gone")) {
        copy.removed.push_back(decode_removed(row));
    }
    if (const auto found = whole.find("configuration"); found != whole.end()) {
        copy.configuration = found->get<std::string>();
    }
    return copy;
}

} // namespace

std::string encode(const inventory_copy& copy)
{
    name_table names;
    json targets = json::array();
    for (const auto& t : copy.targets) {
        const auto revision = revision_in(copy, inventory_kind::targets, t.definition.id.value);
        targets.push_back(encode_target(t, revision, names));
    }
    json hosts = json::array();
    for (const auto& h : copy.hosts) {
        hosts.push_back(
            encode_host(h, revision_in(copy, inventory_kind::hosts, h.id.value), names));
    }
    json evacuated = json::array();
    json evacuation_revisions = json::array();
    for (const auto& domain : copy.evacuated) {
        evacuated.push_back(domain.value);
        evacuation_revisions.push_back(
            revision_in(copy, inventory_kind::evacuations, domain.value).value);
    }
    json digests = json::array();
    for (const auto& digest : copy.digests) {
        digests.push_back(digest.value);
    }
    json removed = json::array();
    for (const auto& entry : copy.removed) {
        removed.push_back(json::array(
            {static_cast<std::size_t>(entry.kind), entry.name, entry.grace_left.count()}));
    }
    store_era latest;
    for (const auto& revision : copy.at) {
        latest = std::max(latest, revision.era);
    }
    json whole{{"at", to_json(copy.at)},
               {"eras", encode_eras(latest, copy.at)},
               {"since", to_json(copy.since)},
               {"names", std::move(names.names)},
               {"targets", std::move(targets)},
               {"hosts", std::move(hosts)},
               {"evacuated", std::move(evacuated)},
               {"gone", std::move(removed)},
               {"digests", std::move(digests)},
               {"evacuation_revisions", std::move(evacuation_revisions)}};
    if (copy.configuration) {
        whole["configuration"] = *copy.configuration;
    }
    return whole.dump();
}

result<inventory_copy> decode_inventory_copy(std::string_view text)
{
    try {
        return decode_whole(json::parse(text));
    } catch (const json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

std::string encode(const inventory_revisions& have)
{
    auto all = to_json(have);
    store_era latest;
    for (const auto& revision : have) {
        latest = std::max(latest, revision.era);
    }
    all.push_back(encode_eras(latest, have));
    return all.dump();
}

result<inventory_revisions> decode_inventory_revisions(std::string_view text)
{
    if (text.empty()) {
        return inventory_revisions{};
    }
    try {
        const auto all = json::parse(text);
        auto have = to_revisions(all);
        if (all.size() > inventory_kinds) { // Earlier versions state no eras.
            decode_eras(all.at(inventory_kinds), have);
        }
        return have;
    } catch (const json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

} // namespace almondquay
