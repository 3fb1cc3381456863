#include "config/ini_document.h"

#include <algorithm>
#include <cstring>

#include <ini.h>

namespace almondquay {

namespace {

/// The INI library stores section headings and keys in 50-byte buffers and silently truncates
/// longer ones, so these are rejected here.
constexpr std::size_t max_name_length = 49;
constexpr std::string_view blanks = " \t\r";
constexpr std::string_view list_part_mark = "[]";

/// State of feeding the text to the INI library line by line. The library reports neither line
/// numbers nor empty sections, so both are recorded while lines are passed to it.
struct line_reader {
    std::string_view rest;
    int line = 0;
    ini_document* document = nullptr;
};

void add_finding(ini_document& document, result_code code, int line, std::string message)
{
    document.findings.push_back({code, document.file, line, std::move(message)});
}

void record_heading(ini_document& document, std::string_view text, int line)
{
    const auto end = text.find(']');
    if (end == std::string_view::npos) {
        return; // The library reports the missing bracket itself.
    }
    auto words = split_list(text.substr(1, end - 1));
    if (words.empty() || end - 1 > max_name_length) {
        add_finding(document, result_code::text_syntax, line,
                    "a section heading must have 1 to 49 characters");
        words.resize(std::max<std::size_t>(words.size(), 1));
    }
    ini_section section;
    section.kind = words.front();
    section.names.assign(words.begin() + 1, words.end());
    section.line = line;
    document.sections.push_back(std::move(section));
}

char* next_line(char* buffer, int size, void* stream)
{
    auto& feed = *static_cast<line_reader*>(stream);
    if (feed.rest.empty()) {
        return nullptr;
    }
    const auto end = std::min(feed.rest.find('\n'), feed.rest.size());
    auto text = feed.rest.substr(0, end);
    feed.rest.remove_prefix(std::min(end + 1, feed.rest.size()));
    ++feed.line;
    const auto start = std::min(text.find_first_not_of(blanks), text.size());
    text.remove_prefix(start); // The library treats an indented line as a continuation.
    if (text.size() + 2 > static_cast<std::size_t>(size) ||
        text.find('\0') != std::string_view::npos) {
        add_finding(*feed.document, result_code::line_too_long, feed.line,
                    "a line must have at most " + std::to_string(size - 2) +
                        " characters and no null bytes; split long lists over several lines, each "
                        "'key[] = ...'");
        text = "";
    }
    if (text.starts_with('[')) {
        record_heading(*feed.document, text, feed.line);
    }
    std::memcpy(buffer, text.data(), text.size());
    buffer[text.size()] = '\n';
    buffer[text.size() + 1] = '\0';
    return buffer;
}

int handle_entry(void* user, const char* /*section*/, const char* name, const char* value)
{
    auto& feed = *static_cast<line_reader*>(user);
    auto& document = *feed.document;
    if (document.sections.empty()) {
        add_finding(document, result_code::text_syntax, feed.line, "key before the first section");
        return 1;
    }
    if (std::strlen(name) >= max_name_length) {
        add_finding(document, result_code::text_syntax, feed.line, "key name is too long");
        return 1;
    }
    std::string_view key(name);
    const bool is_list_part = key.ends_with(list_part_mark);
    if (is_list_part) {
        key.remove_suffix(list_part_mark.size());
    }
    auto& entries = document.sections.back().entries;
    const bool is_repeated = std::ranges::any_of(entries, [&](const ini_entry& e) {
        return e.key == key && !(e.is_list_part && is_list_part);
    });
    if (is_repeated) {
        add_finding(document, result_code::duplicate_name, feed.line,
                    "key '" + std::string(key) + "' occurs twice in its section");
        return 1;
    }
    entries.push_back({std::string(key), value, feed.line, is_list_part});
    return 1;
}

} // namespace

std::string to_string(const diagnostic& d)
{
    return d.file + ":" + std::to_string(d.line) + ": " + std::to_string(static_cast<int>(d.code)) +
           " " + std::string(name_of(d.code)) + ": " + d.message;
}

std::vector<std::string> split_list(std::string_view text)
{
    constexpr std::string_view separators = ", \t\r";
    std::vector<std::string> parts;
    while (true) {
        const auto start = text.find_first_not_of(separators);
        if (start == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(start);
        const auto end = std::min(text.find_first_of(separators), text.size());
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(end);
    }
}

ini_document read_ini(std::string_view text, std::string file)
{
    ini_document document;
    document.file = std::move(file);
    // The library continues after a syntax error but reports only the first bad line.
    line_reader feed{text, 0, &document};
    const int bad_line = ini_parse_stream(next_line, &feed, handle_entry, &feed);
    if (bad_line > 0) {
        add_finding(document, result_code::text_syntax, bad_line,
                    "the line is neither a section, a key with '=' nor a comment");
    }
    return document;
}

} // namespace almondquay
