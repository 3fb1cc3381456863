#pragma once

#include <string>
#include <string_view>

/// Message authentication between the processes of one deployment.
namespace almondquay {

/// The key that all processes of one deployment share; at least `min_secret_length` bytes.
struct shared_secret {
    std::string bytes;
};

constexpr std::size_t min_secret_length = 16;

/// The HMAC-SHA256 of `message` in lower-case hexadecimal, cut to 32 digits (128 bits).
std::string sign(const shared_secret& secret, std::string_view message);

/// Whether `signature` is valid for `message`; compares in constant time.
bool verify_signature(const shared_secret& secret, std::string_view message,
                      std::string_view signature);

} // namespace almondquay
