#include "steering/routing_snapshot.h"

#include <algorithm>

namespace almondquay {

const target_route* find_target(const routing_snapshot& snapshot, std::string_view service,
                                const target_id& id)
{
    const auto routes = snapshot.services.find(service);
    if (routes == snapshot.services.end()) {
        return nullptr;
    }
    const auto& targets = routes->second.targets;
    const auto found = std::ranges::find(targets, id, &target_route::id);
    return found == targets.end() ? nullptr : &*found;
}

bool is_usable(const routing_snapshot& snapshot, std::string_view service, const target_id& id)
{
    const auto* found = find_target(snapshot, service, id);
    return found != nullptr && found->usable;
}

const std::string* find_lookup_answer(const routing_snapshot& snapshot, std::string_view service,
                                      std::string_view caller_address)
{
    const auto routes = snapshot.services.find(service);
    if (routes == snapshot.services.end()) {
        return nullptr;
    }
    const auto* near_region = find_region(*snapshot.blocks, caller_address);
    const auto& answers = routes->second.lookup_answers;
    const auto answer = answers.find(near_region == nullptr ? snapshot.home : *near_region);
    return answer == answers.end() ? nullptr : &answer->second;
}

} // namespace almondquay
