#include "common/authentication.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace almondquay {

namespace {

constexpr std::size_t signature_bytes = 16;

} // namespace

std::string sign(const shared_secret& secret, std::string_view message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.bytes.data(), static_cast<int>(secret.bytes.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(),
         &length);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * signature_bytes);
    for (std::size_t i = 0; i < signature_bytes; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 0x0fU];
    }
    return text;
}

bool verify_signature(const shared_secret& secret, std::string_view message,
                      std::string_view signature)
{
    const auto expected = sign(secret, message);
    return signature.size() == expected.size() &&
           CRYPTO_memcmp(expected.data(), signature.data(), expected.size()) == 0;
}

} // namespace almondquay
