#pragma once

#include "common/hybrid_clock.h"
#include "common/result.h"
#include "common/strong_type.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/uuid/uuid.hpp>

/// The idempotency key with which a caller identifies a non-repeatable request.
namespace almondquay {

/// A version 7 UUID (RFC 9562): its first 48 bits are the Unix time of its
/// creation in milliseconds.
using claim_key = boost::uuids::uuid;

/// Claims whose keys hash to the same bucket share one log per time slice.
using bucket_number = strong_type<struct bucket_tag, std::uint32_t>;
using slice_number = strong_type<struct slice_tag, std::uint64_t>;

constexpr std::uint32_t bucket_count = 2;
constexpr std::chrono::milliseconds slice_length{60'000};
/// Retention in slices; the objects of an expired slice are overwritten in place.
constexpr std::uint64_t retained_slices = 1'440;
/// Clock skew tolerance: how far a key's timestamp may lie ahead of this host's clock.
constexpr std::chrono::milliseconds max_key_clock_skew{5'000};

/// Parses the text form. Errors: key_missing for an empty text, key_malformed.
result<claim_key> parse_claim_key(std::string_view text);

/// The canonical text form, lower case.
std::string text_of(const claim_key& key);

std::uint64_t created_ms(const claim_key& key);
bucket_number bucket_of(const claim_key& key);
slice_number slice_of(const claim_key& key);

/// Checks whether a key can still be claimed at `now`. This only avoids platform calls that are
/// bound to fail; the log alone guarantees that an expired key never runs again. Errors:
/// key_too_old, key_from_future.
result<done> check_age(const claim_key& key, wall_time now);

} // namespace almondquay
