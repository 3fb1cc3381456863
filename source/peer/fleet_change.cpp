#include "peer/fleet_change.h"

#include "common/cbor.h"
#include "peer/packed_text.h"

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_change_bytes = 16UL * 1024 * 1024;

fleet_change decode_whole(const json& whole)
{
    fleet_change change;
    change.since.value = whole.at(0).get<std::uint64_t>();
    change.number.value = whole.at(1).get<std::uint64_t>();
    change.fingerprint = whole.at(2).get<std::uint64_t>();
    for (const auto& [name, text] : whole.at(3).items()) {
        change.parts.changed.emplace(name, text.get<std::string>());
    }
    change.parts.removed = whole.at(4).get<std::vector<std::string>>();
    return change;
}

} // namespace

std::string encode(const fleet_change& change)
{
    json texts = json::object();
    for (const auto& [name, text] : change.parts.changed) {
        texts.emplace(name, text);
    }
    const json whole = json::array({change.since.value, change.number.value, change.fingerprint,
                                    std::move(texts), change.parts.removed});
    const auto bytes = json::to_cbor(whole);
    return pack({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

result<fleet_change> decode_fleet_change(std::string_view text)
{
    const auto bytes = unpack(text, max_change_bytes);
    if (!succeeded(bytes)) {
        return error_of(bytes);
    }
    const auto whole = parse_cbor(value_of(bytes));
    if (!succeeded(whole)) {
        return error{result_code::peer_message_malformed, error_of(whole).detail};
    }
    try {
        return decode_whole(value_of(whole));
    } catch (const json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

} // namespace almondquay
