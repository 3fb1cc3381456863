#pragma once

#include "config/diagnostic.h"
#include "config/fleet.h"

#include <string>
#include <string_view>
#include <variant>

namespace almondquay {

/// Reads and checks the operators' text. Either the whole fleet or every finding of the run:
/// unknown sections and keys, missing keys, references to nothing, contradictions and limits.
/// `file` names the place in findings. The format is described in docs/FLEET_TEXT.md.
std::variant<fleet, diagnostics> parse_fleet(std::string_view text, const std::string& file);

} // namespace almondquay
