#include "control/event.h"

#include <array>

namespace almondquay {

std::string_view name_of(const event_body& body)
{
    constexpr std::array<std::string_view, std::variant_size_v<event_body>> names{
        "tick",           "fleet_read",       "fleet_written",
        "peer_fleet",     "gossip",           "target_report",
        "probe_ended",    "stop_requested",   "traffic_ended",
        "crash_evidence", "request_cleared",  "request_released",
        "claim",          "inventory_read",   "host_registered",
        "peer_inventory", "settings_changed", "permit_wanted"};
    return names.at(body.index());
}

} // namespace almondquay
