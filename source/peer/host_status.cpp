#include "peer/host_status.h"

#include <nlohmann/json.hpp>

namespace almondquay {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member_status, id, alive, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(target_status, id, service, usable, why, in_flight, share)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(quarantine_status, fingerprint, description)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(host_status, host, domain, life, in_force, fingerprint,
                                   in_force_since_ms, ready, leaving, platform_reachable,
                                   decisions_dropped, members, targets, quarantined)

std::string encode(const host_status& status)
{
    return nlohmann::json(status).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<host_status> decode_host_status(std::string_view text)
{
    try {
        return nlohmann::json::parse(text).get<host_status>();
    } catch (const nlohmann::json::exception& problem) {
        return error{result_code::peer_message_malformed, problem.what()};
    }
}

} // namespace almondquay
