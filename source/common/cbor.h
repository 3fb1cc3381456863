#pragma once

#include "common/result.h"

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace almondquay {

/// No message of this project nests its values deeper.
constexpr int max_cbor_depth = 16;

/// Parses CBOR from outside. The library reads nested values recursively, so that bytes which nest
/// them without end would exhaust the stack; these are refused. Errors: bad_value.
result<nlohmann::json> parse_cbor(std::string_view bytes);

} // namespace almondquay
