#pragma once

#include "common/hybrid_clock.h"
#include "common/result.h"
#include "common/strong_type.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/uuid/uuid.hpp>

/// The key by which a caller names one piece of work that must not repeat.
namespace almondquay {

/// A version 7 UUID (RFC 9562): its first 48 bits are the milliseconds at which it was minted.
using claim_key = boost::uuids::uuid;

/// All claims whose keys hash alike share one log for each slice of time.
using bucket_number = strong<struct bucket_tag, std::uint32_t>;
using slice_number = strong<struct slice_tag, std::uint64_t>;

constexpr std::uint32_t bucket_count = 2;
constexpr std::chrono::milliseconds slice_length{60'000};
/// Slices that are kept; the log of an older one is written over in place.
constexpr std::uint64_t retained_slices = 1'440;
/// How far a key's time may lie ahead of this host's clock.
constexpr std::chrono::milliseconds max_key_lead{5'000};

/// Reads the text form. Errors: key_missing for an empty text, key_malformed.
result<claim_key> parse_claim_key(std::string_view text);

/// The canonical text form, lower case.
std::string text_of(const claim_key& key);

std::uint64_t minted_ms(const claim_key& key);
bucket_number bucket_of(const claim_key& key);
slice_number slice_of(const claim_key& key);

/// Whether a key can still be claimed at `now`. This only spares the platform hopeless calls;
/// that an expired key never runs again rests on the log alone. Errors: key_too_old,
/// key_from_future.
result<done> check_age(const claim_key& key, wall_time now);

} // namespace almondquay
