#pragma once

#include "common/result_code.h"
#include "common/strong_type.h"

#include <string>
#include <string_view>

/// What an answer of this system says about the request.
namespace almondquay {

/// Whether the request's work was done. A "not run" is always true; what is not proved either
/// way is "unknown".
enum class outcome { not_run, ran, unknown };

/// "not-run", "ran" or "unknown", as it stands in the header.
std::string_view name_of(outcome o);

inline constexpr std::string_view outcome_header = "Almondquay-Outcome";
inline constexpr std::string_view result_header = "Almondquay-Result";
/// On the first answer to a key when a caller asks again.
inline constexpr std::string_view replayed_header = "Almondquay-Replayed";
inline constexpr std::string_view host_header = "Almondquay-Host";
inline constexpr std::string_view deadline_header = "Almondquay-Deadline-Ms";
inline constexpr std::string_view lookup_path = "/.well-known/almondquay/lookup";

/// The HTTP status that goes with an answer of our own.
unsigned status_of(result_code code);

/// The JSON body of an answer of our own: result number, name, meaning and outcome.
std::string refusal_body(result_code code, outcome o);

} // namespace almondquay
