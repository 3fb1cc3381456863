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

/// A permitted range of numbers, both ends included.
struct number_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// Reads one section's keys as typed values. Each read marks the key as known;
/// `report_unknown_keys` reports the remaining ones as unknown. Diagnostics are added to
/// `document`.
struct section_reader {
    const ini_section* section = nullptr;
    ini_document* document = nullptr;
    std::vector<std::string_view> known_keys;
};

section_reader make_section_reader(const ini_section& section, ini_document& document);

/// The entry of `key`, or nullptr. Marks the key as known. Reports bad_value if it is written as a
/// list.
const ini_entry* find_entry(section_reader& reader, std::string_view key);

/// The text of a required key. Reports missing_key.
std::string read_required(section_reader& reader, std::string_view key);

/// The text of a key, or `fallback`.
std::string read_text(section_reader& reader, std::string_view key, std::string_view fallback);

/// An integer within `range`, or `fallback`. Reports bad_value.
std::int64_t read_number(section_reader& reader, std::string_view key, number_range range,
                         std::int64_t fallback);

/// A duration in milliseconds, or `fallback`. Reports bad_value.
std::chrono::milliseconds read_milliseconds(section_reader& reader, std::string_view key,
                                            number_range range, std::chrono::milliseconds fallback);

/// A decimal number within `range`, or `fallback`. Reports bad_value.
double read_decimal(section_reader& reader, std::string_view key, number_range range,
                    double fallback);

/// A duration in seconds, fractions allowed, or `fallback`. Reports bad_value.
std::chrono::milliseconds read_seconds(section_reader& reader, std::string_view key,
                                       number_range range, std::chrono::milliseconds fallback);

/// "yes" or "no", or `fallback`. Reports bad_value.
bool read_flag(section_reader& reader, std::string_view key, bool fallback);

/// One item of a list and its line number.
struct list_item {
    std::string text;
    int line = 0;
};

/// A list split at commas and whitespace, over all lines of the key; empty if the key is absent.
std::vector<list_item> read_list(section_reader& reader, std::string_view key);

/// Adds a diagnostic about an item of a list.
void report(section_reader& reader, const list_item& item, result_code code, std::string message);

/// Adds a diagnostic at the line of `key`, or of the section heading if the key is absent.
void report(section_reader& reader, std::string_view key, result_code code, std::string message);

/// Reports unknown_key for each key that has not been read.
void report_unknown_keys(section_reader& reader);

} // namespace almondquay
