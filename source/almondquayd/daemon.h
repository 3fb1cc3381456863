#pragma once

#include "common/result.h"
#include "config/process_settings.h"

namespace almondquay {

/// Runs one entry host until it has been asked to stop and its last request has ended.
/// Errors: usage_error if an address cannot be bound.
result<done> run_daemon(const process_settings& settings);

} // namespace almondquay
