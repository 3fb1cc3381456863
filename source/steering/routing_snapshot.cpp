#include "steering/routing_snapshot.h"

namespace almondquay {

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
