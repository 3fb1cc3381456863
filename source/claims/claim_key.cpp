#include "claims/claim_key.h"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <xxhash.h>

namespace almondquay {

namespace {

constexpr std::size_t text_length = 36;
constexpr std::size_t time_bytes = 6;
constexpr std::size_t version_byte = 6;
constexpr unsigned time_ordered_version = 7;

std::uint64_t slice_at(std::uint64_t ms)
{
    return ms / static_cast<std::uint64_t>(slice_length.count());
}

} // namespace

result<claim_key> parse_claim_key(std::string_view text)
{
    if (text.empty()) {
        return error{result_code::key_missing, ""};
    }
    try {
        const auto key = boost::uuids::string_generator()(text.begin(), text.end());
        const bool is_canonical = text.size() == text_length;
        if (is_canonical && (key.data[version_byte] >> 4U) == time_ordered_version) {
            return key;
        }
    } catch (const std::runtime_error&) { // Boost.Uuid throws on malformed text.
    }
    return error{result_code::key_malformed, std::string(text.substr(0, text_length))};
}

std::string text_of(const claim_key& key)
{
    return boost::uuids::to_string(key);
}

std::uint64_t created_ms(const claim_key& key)
{
    std::uint64_t ms = 0;
    for (std::size_t i = 0; i < time_bytes; ++i) {
        ms = (ms << 8U) | key.data[i];
    }
    return ms;
}

bucket_number bucket_of(const claim_key& key)
{
    return bucket_number(
        static_cast<std::uint32_t>(XXH3_64bits(key.data, sizeof key.data) % bucket_count));
}

slice_number slice_of(const claim_key& key)
{
    return slice_number(slice_at(created_ms(key)));
}

result<done> check_age(const claim_key& key, wall_time now)
{
    const auto now_ms = milliseconds_of(now);
    if (created_ms(key) > now_ms + static_cast<std::uint64_t>(max_key_clock_skew.count())) {
        return error{result_code::key_from_future, text_of(key)};
    }
    // The newest slice reuses the oldest one's objects and may overwrite them at any moment.
    if (slice_of(key).value + retained_slices <= slice_at(now_ms) + 1) {
        return error{result_code::key_too_old, text_of(key)};
    }
    return done{};
}

} // namespace almondquay
