#pragma once

#include "claims/claim_key.h"
#include "common/strong_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The records of the claim log and their stored encoding.
namespace almondquay {

/// Identifies one claim attempt by one incarnation of a host; never reused.
struct claim_id {
    host_id host;
    incarnation life;
    std::uint64_t number = 0;

    auto operator<=>(const claim_id&) const = default;
};

/// Gives one host the exclusive right to run a key. Durable before the first byte is sent to a
/// target.
struct claim_record {
    claim_key key{};
    claim_id id;
    std::uint64_t digest = 0; ///< hash of method, path and body

    bool operator==(const claim_record&) const = default;
};

/// How a claimed request ended.
enum class claim_end {
    not_run, ///< certainly not run; the key may be claimed again, under a new claim id
    ran,
    unknown, ///< may have run, so the key is never run again
};

/// Response bodies up to this size are stored and replayed to callers that retry.
constexpr std::size_t max_kept_body_bytes = 1'024;

/// The response to the first request with a key.
struct claim_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;
    bool is_kept = false; ///< false if the body was too large

    bool operator==(const claim_answer&) const = default;
};

struct outcome_record {
    claim_key key{};
    claim_id id;
    claim_end end = claim_end::unknown;
    claim_answer answer; ///< set only if it ran

    bool operator==(const outcome_record&) const = default;
};

using log_record = std::variant<claim_record, outcome_record>;

/// One object of the log: the records of a slice in the order in which they were appended.
struct log_segment {
    slice_number slice;
    std::vector<log_record> records;

    bool operator==(const log_segment&) const = default;
};

/// A segment that reaches this size is full; the log continues in the next one.
constexpr std::size_t full_segment_bytes = 32UL * 1024;
/// The most records that one write appends; keeps segments far below the platform's object size
/// limit of one megabyte.
constexpr std::size_t max_batch_records = 256;
constexpr std::uint32_t max_segments = 512;

/// Encodes as CBOR.
std::string encode(const log_segment& segment);

/// Errors: platform_bad_answer.
result<log_segment> decode_segment(std::string_view bytes);

/// The object key of a segment, such as "claims/3/717/0". A slice reuses the objects of the slice
/// `retained_slices` before it, so the number of objects is bounded and none is ever deleted. A
/// host that was suspended for a slice's whole retention cannot write to it any more, because the
/// object's version has changed.
std::string segment_key(bucket_number bucket, slice_number slice, std::uint32_t segment);

} // namespace almondquay
