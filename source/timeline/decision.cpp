#include "timeline/decision.h"

#include <nlohmann/json.hpp>

namespace almondquay {

namespace {

using json = nlohmann::json;

json to_json(const decision& d)
{
    json inputs = json::array();
    for (const auto& input : d.inputs) {
        inputs.push_back({{"name", input.name}, {"value", input.value}});
    }
    return {{"id", d.id},
            {"wall_ms", d.time.wall_ms},
            {"counter", d.time.counter},
            {"host", d.host},
            {"kind", d.kind},
            {"rule", d.rule},
            {"summary", d.summary},
            {"causes", d.causes},
            {"inputs", std::move(inputs)}};
}

decision from_json(const json& value)
{
    decision d;
    d.id = value.at("id").get<std::string>();
    d.time.wall_ms = value.at("wall_ms").get<std::uint64_t>();
    d.time.counter = value.at("counter").get<std::uint32_t>();
    d.host = value.at("host").get<std::string>();
    d.kind = value.at("kind").get<std::string>();
    d.rule = value.at("rule").get<std::string>();
    d.summary = value.at("summary").get<std::string>();
    d.causes = value.at("causes").get<std::vector<std::string>>();
    for (const auto& input : value.at("inputs")) {
        d.inputs.push_back(
            {input.at("name").get<std::string>(), input.at("value").get<std::string>()});
    }
    return d;
}

} // namespace

std::string encode(const std::vector<decision>& decisions)
{
    json all = json::array();
    for (const auto& d : decisions) {
        all.push_back(to_json(d));
    }
    return all.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<std::vector<decision>> decode_decisions(std::string_view text)
{
    try {
        std::vector<decision> decisions;
        for (const auto& value : json::parse(text)) {
            decisions.push_back(from_json(value));
        }
        return decisions;
    } catch (const json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

} // namespace almondquay
