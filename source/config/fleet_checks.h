#pragma once

#include "config/fleet.h"
#include "config/ini_document.h"

#include <string_view>

/// Validation of a complete fleet configuration: references, conflicts and limits.
namespace almondquay {

/// Adds a diagnostic to `document` for each invalid setting in `f`: missing_section,
/// unknown_reference, dependency_cycle, address_in_use, limit_exceeded.
void check_fleet(const fleet& f, ini_document& document);

/// True for an IPv4 CIDR block such as 127.1.0.0/16.
bool is_cidr(std::string_view text);

} // namespace almondquay
