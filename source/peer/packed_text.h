#pragma once

#include "common/result.h"

#include <cstddef>
#include <string>
#include <string_view>

/// Compression of data for messages that carry text.
namespace almondquay {

/// Compresses with Zstandard and encodes as Base64.
std::string pack(std::string_view data);

/// Reverses `pack`. Errors: peer_message_malformed, also if the data is larger than `max_bytes`.
result<std::string> unpack(std::string_view text, std::size_t max_bytes);

} // namespace almondquay
