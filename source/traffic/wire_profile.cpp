#include "traffic/wire_profile.h"

#include "traffic/outcome.h"

namespace almondquay {

const wire_profile builtin_profile{.lookup_path = lookup_path,
                                   .readiness_path = readiness_path,
                                   .deadline_header = deadline_header,
                                   .reports_outcome = true};

} // namespace almondquay
