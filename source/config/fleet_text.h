#pragma once

#include "config/diagnostic.h"
#include "config/fleet.h"

#include <string>
#include <string_view>
#include <variant>

namespace almondquay {

/// Parses and validates the fleet configuration. Returns the fleet, or all diagnostics: unknown
/// sections and keys, missing keys, undefined references, conflicts and exceeded limits. `file` is
/// the file name given in diagnostics. The format is described in docs/FLEET_TEXT.md.
std::variant<fleet, diagnostics> parse_fleet(std::string_view text, const std::string& file);

} // namespace almondquay
