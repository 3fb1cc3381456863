#include "peer/packed_text.h"

#include <openssl/evp.h>
#include <zstd.h>

namespace almondquay {

namespace {

/// Favours speed: configurations repeat themselves so much that higher levels gain little.
constexpr int compression_level = 1;
constexpr std::size_t base64_group = 4;
constexpr std::size_t base64_group_bytes = 3;

unsigned char* bytes_of(std::string& text)
{
    return reinterpret_cast<unsigned char*>(text.data());
}

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string encode_base64(std::string_view data)
{
    const auto groups = (data.size() + base64_group_bytes - 1) / base64_group_bytes;
    std::string text(groups * base64_group + 1, '\0'); // OpenSSL adds a terminating NUL.
    const auto size =
        EVP_EncodeBlock(bytes_of(text), bytes_of(data), static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

/// Returns an empty string if the text is not Base64.
std::string decode_base64(std::string_view text)
{
    if (text.size() < base64_group || text.size() % base64_group != 0) {
        return {};
    }
    std::string data(text.size() / base64_group * base64_group_bytes, '\0');
    const auto size =
        EVP_DecodeBlock(bytes_of(data), bytes_of(text), static_cast<int>(text.size()));
    if (size < 0) {
        return {};
    }
    // OpenSSL counts the padding as decoded zero bytes.
    const auto padding = text.size() - 1 - text.find_last_not_of('=');
    data.resize(padding < base64_group_bytes ? static_cast<std::size_t>(size) - padding : 0);
    return data;
}

} // namespace

std::string pack(std::string_view data)
{
    std::string compressed(ZSTD_compressBound(data.size()), '\0');
    const auto size = ZSTD_compress(compressed.data(), compressed.size(), data.data(), data.size(),
                                    compression_level);
    compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return encode_base64(compressed);
}

result<std::string> unpack(std::string_view text, std::size_t max_bytes)
{
    const auto compressed = decode_base64(text);
    const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    // The values for an unknown size and for an invalid frame are above any limit.
    if (size > max_bytes) {
        return error{result_code::peer_message_malformed, "packed data is invalid or too large"};
    }
    std::string data(size, '\0');
    const auto unpacked =
        ZSTD_decompress(data.data(), data.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(unpacked) != 0 || unpacked != size) {
        return error{result_code::peer_message_malformed, "packed data is damaged"};
    }
    return data;
}

} // namespace almondquay
