#pragma once

#include "common/strong_type.h"
#include "config/ini_document.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondquay {

/// A number with its permitted range, both ends included.
struct number_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// Reads one section's keys as typed values. Each read marks the key as known; `finish`
/// reports the keys that nothing asked for. Findings go to the document that was given.
struct section_reader {
    const ini_section* section = nullptr;
    ini_document* document = nullptr;
    std::vector<std::string_view> known_keys;
};

section_reader make_section_reader(const ini_section& section, ini_document& document);

/// The entry of `key`, or nullptr. Marks the key as known. Finding: bad_value, if it is written as
/// a list.
const ini_entry* find_entry(section_reader& reader, std::string_view key);

/// The text of a key that must be there. Finding: missing_key.
std::string read_required(section_reader& reader, std::string_view key);

/// The text of a key, or `fallback`.
std::string read_text(section_reader& reader, std::string_view key, std::string_view fallback);

/// An integer within `range`, or `fallback`. Finding: bad_value.
std::int64_t read_number(section_reader& reader, std::string_view key, number_range range,
                         std::int64_t fallback);

/// A duration in milliseconds, or `fallback`. Finding: bad_value.
std::chrono::milliseconds read_milliseconds(section_reader& reader, std::string_view key,
                                            number_range range, std::chrono::milliseconds fallback);

/// A number that may have a fraction, within `range`, or `fallback`. Finding: bad_value.
double read_decimal(section_reader& reader, std::string_view key, number_range range,
                    double fallback);

/// A duration in seconds that may have a fraction, or `fallback`. Finding: bad_value.
std::chrono::milliseconds read_seconds(section_reader& reader, std::string_view key,
                                       number_range range, std::chrono::milliseconds fallback);

/// "yes" or "no", or `fallback`. Finding: bad_value.
bool read_flag(section_reader& reader, std::string_view key, bool fallback);

/// One item of a list and the line that it stands on.
struct list_item {
    std::string text;
    int line = 0;
};

/// A list split at commas and spaces, over all lines of the key; empty if the key is absent.
std::vector<list_item> read_list(section_reader& reader, std::string_view key);

/// Adds a finding about an item of a list.
void report(section_reader& reader, const list_item& item, result_code code, std::string message);

/// Adds a finding at the line of `key`, or of the section's heading if the key is absent.
void report(section_reader& reader, std::string_view key, result_code code, std::string message);

/// Reports every key that no read has asked for. Finding: unknown_key.
void finish(section_reader& reader);

} // namespace almondquay
