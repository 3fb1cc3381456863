#include "traffic/listener.h"

namespace almondquay {

std::vector<listener> listeners_of(const process_settings& settings)
{
    const bool has_lookups = settings.lookups.port != 0;
    const bool reserves_lookups = !has_lookups && settings.store == store_kind::own;
    std::vector<listener> all{
        {{settings.address, settings.caller_port},
         reserves_lookups ? listener_role::callers_and_lookups : listener_role::callers}};
    if (has_lookups) {
        all.push_back({settings.lookups, listener_role::lookups});
    }
    if (settings.readiness.port != 0) {
        all.push_back({settings.readiness, listener_role::readiness});
    }
    return all;
}

} // namespace almondquay
