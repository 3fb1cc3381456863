#pragma once

#include "common/result.h"
#include "config/diagnostic.h"
#include "config/fleet.h"
#include "config/fleet_parts.h"

#include <string>
#include <string_view>
#include <variant>

/// How a store's configuration is divided into parts, as a table of functions. All are null if it
/// is handled as one text.
namespace almondquay {

struct parts_codec {
    /// Divides a configuration. Errors: bad_value.
    result<fleet_parts> (*split)(std::string_view text) = nullptr;

    /// The text of a configuration with these parts.
    std::string (*join)(const fleet_parts& parts, generation number) = nullptr;

    /// Parses some or all parts of a configuration. Diagnostics name the part.
    std::variant<fleet, diagnostics> (*parse)(const part_texts& parts) = nullptr;
};

} // namespace almondquay
