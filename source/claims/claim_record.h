#pragma once

#include "claims/claim_key.h"
#include "common/strong_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What the claim log consists of, and its form in the platform.
namespace almondquay {

/// Names one attempt of one host's life to claim; never used twice.
struct claim_id {
    host_id host;
    incarnation life;
    std::uint64_t number = 0;

    auto operator<=>(const claim_id&) const = default;
};

/// "I alone may run this key." Durable before the first byte goes to a target.
struct claim_record {
    claim_key key{};
    claim_id id;
    std::uint64_t digest = 0; ///< of method, path and body

    bool operator==(const claim_record&) const = default;
};

/// How a claimed request ended.
enum class claim_end {
    not_run, ///< proved; the key may be claimed again, but never by the same claim
    ran,
    unknown, ///< may have run; never run again
};

/// Answers up to this size are kept for callers that ask again.
constexpr std::size_t max_kept_body_bytes = 1'024;

/// The first answer to a key.
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
    claim_answer answer; ///< only if it ran

    bool operator==(const outcome_record&) const = default;
};

using log_record = std::variant<claim_record, outcome_record>;

/// One object of the log: the records of a slice in the order in which they were appended.
struct log_segment {
    slice_number slice;
    std::vector<log_record> records;

    bool operator==(const log_segment&) const = default;
};

/// A segment of this size takes no more records; the log goes on in the next one.
constexpr std::size_t full_segment_bytes = 32UL * 1024;
/// The most records that one write appends; keeps a segment far below the platform's megabyte.
constexpr std::size_t max_batch_records = 256;
constexpr std::uint32_t max_segments = 512;

/// CBOR.
std::string encode(const log_segment& segment);

/// Errors: platform_bad_answer.
result<log_segment> decode_segment(std::string_view bytes);

/// "claims/3/717/0": the objects of a slice are those of its predecessor `retained_slices` ago,
/// so that the number of objects is bounded and none is ever deleted. A host that slept through a
/// slice's whole retention cannot write to it: the object's version has moved on.
std::string segment_key(bucket_number bucket, slice_number slice, std::uint32_t segment);

} // namespace almondquay
