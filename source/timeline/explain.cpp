#include "timeline/explain.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <map>
#include <set>

namespace almondquay {

namespace {

constexpr std::uint64_t ms_per_second = 1'000;

void collect(const std::map<std::string, const decision*>& by_id, const std::string& id,
             std::set<std::string>& seen, std::vector<decision>& chain)
{
    const auto found = by_id.find(id);
    if (found == by_id.end() || !seen.insert(id).second) {
        return;
    }
    for (const auto& cause : found->second->causes) {
        collect(by_id, cause, seen, chain);
    }
    chain.push_back(*found->second);
}

} // namespace

std::vector<decision> merge_timelines(std::vector<std::vector<decision>> records)
{
    std::vector<decision> merged;
    for (auto& record : records) {
        std::ranges::move(record, std::back_inserter(merged));
    }
    const auto earlier = [](const decision& a, const decision& b) {
        return std::tie(a.time, a.id) < std::tie(b.time, b.id);
    };
    std::ranges::sort(merged, earlier);
    const auto same = [](const decision& a, const decision& b) { return a.id == b.id; };
    merged.erase(std::unique(merged.begin(), merged.end(), same), merged.end());
    return merged;
}

result<std::vector<decision>> causal_chain(const std::vector<decision>& merged,
                                           const std::string& id)
{
    std::map<std::string, const decision*> by_id;
    for (const auto& d : merged) {
        by_id.emplace(d.id, &d);
    }
    if (!by_id.contains(id)) {
        return error{result_code::decision_unknown, "no host has a decision with id '" + id + "'"};
    }
    std::vector<decision> chain;
    std::set<std::string> seen;
    collect(by_id, id, seen, chain);
    return chain;
}

std::string format_time(hybrid_time time)
{
    const auto seconds = static_cast<std::time_t>(time.wall_ms / ms_per_second);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto ms = std::to_string(ms_per_second + time.wall_ms % ms_per_second);
    return std::string(date.data()) + "." + ms.substr(1) + "Z";
}

std::string format_decision_chain(const std::vector<decision>& chain)
{
    std::string text;
    for (const auto& d : chain) {
        text += format_time(d.time) + "  " + d.host + "  " + d.summary + "\n";
        text += "    id: " + d.id + "\n    rule: " + d.rule + "\n";
        for (const auto& input : d.inputs) {
            text += "    " + input.name + ": " + input.value + "\n";
        }
        for (const auto& cause : d.causes) {
            text += "    because of: " + cause + "\n";
        }
    }
    return text;
}

} // namespace almondquay
