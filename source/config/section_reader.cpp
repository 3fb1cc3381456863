#include "config/section_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace almondquay {

section_reader make_section_reader(const ini_section& section, ini_document& document)
{
    return {&section, &document, {}};
}

const ini_entry* find_entry(section_reader& reader, std::string_view key)
{
    reader.known_keys.push_back(key);
    const auto& entries = reader.section->entries;
    const auto found = std::ranges::find(entries, key, &ini_entry::key);
    if (found == entries.end()) {
        return nullptr;
    }
    if (found->is_list_part) {
        report(reader, key, result_code::bad_value,
               "'" + std::string(key) + "' is not a list; write it without []");
        return nullptr;
    }
    return &*found;
}

void report(section_reader& reader, const list_item& item, result_code code, std::string message)
{
    reader.document->findings.push_back(
        {code, reader.document->file, item.line, std::move(message)});
}

void report(section_reader& reader, std::string_view key, result_code code, std::string message)
{
    const auto& entries = reader.section->entries;
    const auto found = std::ranges::find(entries, key, &ini_entry::key);
    const int line = found == entries.end() ? reader.section->line : found->line;
    reader.document->findings.push_back({code, reader.document->file, line, std::move(message)});
}

std::string read_required(section_reader& reader, std::string_view key)
{
    const auto* entry = find_entry(reader, key);
    if (entry == nullptr || entry->value.empty()) {
        report(reader, key, result_code::missing_key,
               "section '" + reader.section->kind + "' needs the key '" + std::string(key) + "'");
        return {};
    }
    return entry->value;
}

std::string read_text(section_reader& reader, std::string_view key, std::string_view fallback)
{
    const auto* entry = find_entry(reader, key);
    return entry == nullptr ? std::string(fallback) : entry->value;
}

std::int64_t read_number(section_reader& reader, std::string_view key, number_range range,
                         std::int64_t fallback)
{
    const auto* entry = find_entry(reader, key);
    if (entry == nullptr) {
        return fallback;
    }
    std::int64_t number = 0;
    const auto* first = entry->value.data();
    const auto* last = first + entry->value.size();
    const auto [end, problem] = std::from_chars(first, last, number);
    const bool is_good =
        problem == std::errc{} && end == last && number >= range.lowest && number <= range.highest;
    if (!is_good) {
        report(reader, key, result_code::bad_value,
               "'" + std::string(key) + "' must be an integer from " +
                   std::to_string(range.lowest) + " to " + std::to_string(range.highest) +
                   ", got '" + entry->value + "'");
        return fallback;
    }
    return number;
}

std::chrono::milliseconds read_milliseconds(section_reader& reader, std::string_view key,
                                            number_range range, std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(read_number(reader, key, range, fallback.count()));
}

double read_decimal(section_reader& reader, std::string_view key, number_range range,
                    double fallback)
{
    const auto* entry = find_entry(reader, key);
    if (entry == nullptr) {
        return fallback;
    }
    double value = 0;
    const auto* last = entry->value.data() + entry->value.size();
    const auto [end, problem] = std::from_chars(entry->value.data(), last, value);
    const bool is_good = problem == std::errc{} && end == last &&
                         value >= static_cast<double>(range.lowest) &&
                         value <= static_cast<double>(range.highest);
    if (!is_good) {
        report(reader, key, result_code::bad_value,
               "'" + std::string(key) + "' must be a number from " + std::to_string(range.lowest) +
                   " to " + std::to_string(range.highest));
        return fallback;
    }
    return value;
}

std::chrono::milliseconds read_seconds(section_reader& reader, std::string_view key,
                                       number_range range, std::chrono::milliseconds fallback)
{
    constexpr double ms_per_second = 1'000;
    const auto seconds = static_cast<double>(fallback.count()) / ms_per_second;
    return std::chrono::milliseconds(
        std::llround(read_decimal(reader, key, range, seconds) * ms_per_second));
}

bool read_flag(section_reader& reader, std::string_view key, bool fallback)
{
    const auto* entry = find_entry(reader, key);
    if (entry == nullptr) {
        return fallback;
    }
    if (entry->value != "yes" && entry->value != "no") {
        report(reader, key, result_code::bad_value,
               "'" + std::string(key) + "' must be yes or no, got '" + entry->value + "'");
        return fallback;
    }
    return entry->value == "yes";
}

std::vector<list_item> read_list(section_reader& reader, std::string_view key)
{
    reader.known_keys.push_back(key);
    std::vector<list_item> items;
    for (const auto& entry : reader.section->entries) {
        if (entry.key != key) {
            continue;
        }
        for (auto& text : split_list(entry.value)) {
            items.push_back({std::move(text), entry.line});
        }
    }
    return items;
}

void report_unknown_keys(section_reader& reader)
{
    for (const auto& entry : reader.section->entries) {
        if (std::ranges::find(reader.known_keys, entry.key) == reader.known_keys.end()) {
            report(reader, entry.key, result_code::unknown_key,
                   "section '" + reader.section->kind + "' has no key '" + entry.key + "'");
        }
    }
}

} // namespace almondquay
