#pragma once

#include "control/event.h"

#include <functional>

namespace almondquay {

/// Callbacks by which the traffic threads notify the control thread; may be called from any thread.
struct traffic_events {
    std::function<void(target_report_event)> report;
    std::function<void(crash_evidence)> crash; ///< a target crashed while it ran this request
    std::function<void(request_fingerprint)> cleared; ///< a suspected request was served
    std::function<void(claim_requested_event)> claim_requested;
    std::function<void(claim_finished_event)> claim_finished;
    std::function<void(permit_wanted_event)> permit_wanted;
};

} // namespace almondquay
