#include "config/fleet_envelope.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace almondquay {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 4> kind_names{"target", "host", "failure_domain", "region"};

result<drain_mark> decode_mark(const json& value)
{
    const auto kind = parse_drain_kind(value.at("kind").get<std::string>());
    if (!succeeded(kind)) {
        return error_of(kind);
    }
    return drain_mark{value_of(kind), value.at("name").get<std::string>()};
}

} // namespace

std::string encode(const fleet_envelope& envelope)
{
    json drains = json::array();
    for (const auto& mark : envelope.drains) {
        drains.push_back({{"kind", name_of(mark.kind)}, {"name", mark.name}});
    }
    const json whole = {
        {"generation", envelope.number.value}, {"text", envelope.text},
        {"drains", std::move(drains)},         {"changed_by", envelope.changed_by},
        {"reason", envelope.reason},           {"changed_at_ms", envelope.changed_at_ms}};
    return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<fleet_envelope> decode_fleet_envelope(std::string_view text)
{
    try {
        const auto whole = json::parse(text);
        fleet_envelope envelope;
        envelope.number.value = whole.at("generation").get<std::uint64_t>();
        envelope.text = whole.at("text").get<std::string>();
        for (const auto& value : whole.at("drains")) {
            const auto mark = decode_mark(value);
            if (!succeeded(mark)) {
                return error_of(mark);
            }
            set_drain(envelope.drains, value_of(mark), true);
        }
        envelope.changed_by = whole.at("changed_by").get<std::string>();
        envelope.reason = whole.at("reason").get<std::string>();
        envelope.changed_at_ms = whole.at("changed_at_ms").get<std::uint64_t>();
        return envelope;
    } catch (const json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

std::uint64_t fingerprint_of(const fleet_envelope& envelope)
{
    if (envelope.parts) {
        const std::array<std::uint64_t, 2> both{envelope.number.value, envelope.parts->fingerprint};
        return XXH3_64bits(both.data(), sizeof both);
    }
    const auto bytes = encode(envelope);
    return XXH3_64bits(bytes.data(), bytes.size());
}

result<drain_kind> parse_drain_kind(std::string_view word)
{
    const auto found = std::ranges::find(kind_names, word);
    if (found == kind_names.end()) {
        return error{result_code::bad_value,
                     "'" + std::string(word) +
                         "' is not one of target, host, failure_domain, region"};
    }
    return static_cast<drain_kind>(found - kind_names.begin());
}

std::string_view name_of(drain_kind kind)
{
    return kind_names[static_cast<std::size_t>(kind)];
}

bool has_drain(const std::vector<drain_mark>& marks, drain_kind kind, std::string_view name)
{
    return std::ranges::any_of(
        marks, [&](const drain_mark& m) { return m.kind == kind && m.name == name; });
}

bool set_drain(std::vector<drain_mark>& marks, const drain_mark& mark, bool drained)
{
    const auto place = std::ranges::lower_bound(marks, mark);
    const bool is_there = place != marks.end() && *place == mark;
    if (is_there == drained) {
        return false;
    }
    if (drained) {
        marks.insert(place, mark);
    } else {
        marks.erase(place);
    }
    return true;
}

} // namespace almondquay
