#include "traffic/descriptor_limit.h"

#include "logging/log.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <system_error>

#include <sys/resource.h>

namespace almondquay {

namespace {

/// The rest needs a few dozen descriptors, of the thousands that are usual.
constexpr int reserved_part = 32;
constexpr int least_reserved = 16;
/// Callers leave twice this part to targets and look-ups, look-ups leave it to targets. A
/// connection to a target carries many requests in succession, and most connections of callers are
/// idle.
constexpr int step_part = 16;

} // namespace

descriptor_limits limits_of(int all)
{
    const auto targets = all - std::max(all / reserved_part, least_reserved);
    const auto step = all / step_part;
    return {std::max(targets - 2 * step, 1), std::max(targets - step, 1), std::max(targets, 1)};
}

descriptor_limits limits_of_process()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        log::write(log::level::warning, "descriptor_limit_unknown",
                   {{"why", std::generic_category().message(errno)}});
        limit.rlim_cur = RLIM_INFINITY;
    }
    constexpr rlim_t most = std::numeric_limits<int>::max();
    return limits_of(static_cast<int>(std::min<rlim_t>(limit.rlim_cur, most)));
}

int limit_for(const descriptor_limits& limits, listener_role role)
{
    switch (role) {
    case listener_role::callers:
    case listener_role::callers_and_lookups:
        return limits.callers;
    case listener_role::lookups:
        return limits.lookups;
    case listener_role::readiness:
        break;
    }
    return std::numeric_limits<int>::max();
}

} // namespace almondquay
